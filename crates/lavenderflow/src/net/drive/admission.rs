//! Reports of the admission of attempts.

use lavenderflow_core::request::AttemptReport;
use tokio::sync::oneshot;

use super::send_report;
use crate::net::context::NetworkContext;
use crate::prelude::{Load, RequestId};

/// How the admission of an attempt is reported.
#[derive(Default)]
pub(super) struct Admission {
    is_copy: bool,
    notify: Option<oneshot::Sender<()>>,
}

impl Admission {
    /// Returns the admission of a request's only or first attempt, and a receiver that is notified
    /// of it.
    pub(super) fn first() -> (Self, oneshot::Receiver<()>) {
        let (notify, admitted) = oneshot::channel();
        (Self { is_copy: false, notify: Some(notify) }, admitted)
    }

    /// Returns the admission of a second copy of a request.
    pub(super) fn copy() -> Self {
        Self { is_copy: true, notify: None }
    }

    /// Reports that the attempt got a slot.
    pub(super) async fn report(&mut self, context: &NetworkContext, id: RequestId, load: Load) {
        let report = AttemptReport::Admitted(load);
        let report = if self.is_copy { AttemptReport::Copy(Box::new(report)) } else { report };
        send_report(context, id, report).await;
        if let Some(notify) = self.notify.take() {
            // The receiver is gone when nothing waits for the admission.
            let _ = notify.send(());
        }
    }
}
