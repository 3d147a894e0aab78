//! Outcomes of requests and the reasons for them.

/// What became of a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// It ran, and its answer is at hand or was given before.
    Ran,
    /// It did not run and will not run.
    NotRun,
    /// It may have run, may run now, or may not have run.
    Unknown,
}

impl Outcome {
    /// Returns the name in headers and counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }

    /// Finds an outcome by its name.
    pub fn from_name(name: &str) -> Option<Self> {
        [Self::Ran, Self::NotRun, Self::Unknown].into_iter().find(|o| o.name() == name)
    }
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $variant:ident = $name:literal, $status:literal;)*) => {
        /// Why a request was refused, repeated or left without an answer.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum Reason { $($(#[$doc])* $variant,)* }

        impl Reason {
            /// All reasons.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the name in headers, logs and counters.
            pub fn name(self) -> &'static str {
                match self { $(Self::$variant => $name,)* }
            }

            /// Returns the HTTP status for a caller who gets no answer from an upstream.
            pub fn status(self) -> u16 {
                match self { $(Self::$variant => $status,)* }
            }
        }
    };
}

reasons! {
    /// An upstream answered.
    Answered = "answered", 200;
    /// The answer was given before and is not stored any more.
    AnswerGone = "answer-gone", 409;
    /// The request's body or head is malformed.
    BadRequest = "bad-request", 400;
    /// The caller left before the answer.
    CallerGone = "caller-gone", 499;
    /// No connection to the upstream could be opened.
    ConnectFailed = "connect-failed", 503;
    /// The deadline passed.
    DeadlinePast = "deadline-past", 504;
    /// The upstream may be in a gray spell, and the request can go elsewhere.
    Doubtful = "doubtful", 503;
    /// The gate had seen the attempt before.
    Duplicate = "duplicate", 502;
    /// An answer came that belongs to another request or that no upstream gave.
    ForeignAnswer = "foreign-answer", 502;
    /// The header section is too large.
    HeadersTooLarge = "headers-too-large", 431;
    /// The ticket's home cannot be reached.
    HomeLost = "home-lost", 502;
    /// The attempt was meant for an earlier run of the gate's process.
    Outdated = "outdated", 502;
    /// The node or the upstream is leaving.
    Leaving = "leaving", 503;
    /// The gate stayed silent.
    Lost = "lost", 502;
    /// No gate offers the service.
    NoGate = "no-gate", 503;
    /// No route matches.
    NoRoute = "no-route", 404;
    /// No configuration is known yet.
    NotConfigured = "not-configured", 503;
    /// The gate has no upstream of the service.
    NoUpstream = "no-upstream", 503;
    /// The organisation has too many requests in flight.
    OrganisationLimit = "organisation-limit", 429;
    /// The request waited for a slot as long as it may.
    PatienceSpent = "patience-spent", 503;
    /// The expected wait exceeds what the request may wait.
    QueueFull = "queue-full", 503;
    /// The upstream sheds load and did not run the request.
    Shed = "shed", 503;
    /// The body is larger than callers may send.
    BodyTooLarge = "body-too-large", 413;
    /// The ticket is too old to know what became of it.
    TicketExpired = "ticket-expired", 410;
    /// The ticket was never issued or is malformed.
    TicketInvalid = "ticket-invalid", 400;
    /// The ticket was used for another request.
    TicketMismatch = "ticket-mismatch", 422;
    /// The request with this ticket was refused before.
    TicketRefused = "ticket-refused", 409;
    /// The gate cannot be reached.
    Unreachable = "unreachable", 503;
    /// The upstream failed after it may have started.
    UpstreamFailed = "upstream-failed", 502;
    /// The upstream has not answered for many times the usual time.
    Stuck = "stuck", 504;
    /// All workers of the node are busy.
    WorkersBusy = "workers-busy", 503;
}

impl Reason {
    /// Finds a reason by its name.
    ///
    /// # Examples
    ///
    /// ```
    /// use lavenderflow_core::reason::Reason;
    ///
    /// assert_eq!(Reason::from_name("queue-full"), Some(Reason::QueueFull));
    /// assert_eq!(Reason::from_name("other"), None);
    /// ```
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|reason| reason.name() == name)
    }
}
