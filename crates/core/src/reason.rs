//! Outcomes of requests, and the reasons for them.

/// Whether a request ran, as far as that is known.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// The request ran, and its response is available or was sent before.
    Ran,
    /// The request did not run and will not run.
    NotRun,
    /// The request may have run, may be running, or may not have run.
    Unknown,
}

impl Outcome {
    /// Returns the name that headers and counters use.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }

    /// Returns the outcome with this name.
    pub fn from_name(name: &str) -> Option<Self> {
        [Self::Ran, Self::NotRun, Self::Unknown].into_iter().find(|o| o.name() == name)
    }
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $variant:ident = $name:literal, $status:literal;)*) => {
        /// Why a request was refused, retried or left without a response.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum Reason { $($(#[$doc])* $variant,)* }

        impl Reason {
            /// All reasons.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the name that headers, logs and counters use.
            pub fn name(self) -> &'static str {
                match self { $(Self::$variant => $name,)* }
            }

            /// Returns the HTTP status for a caller that gets no response from an upstream.
            pub fn status(self) -> u16 {
                match self { $(Self::$variant => $status,)* }
            }
        }
    };
}

reasons! {
    /// An upstream sent a response.
    Answered = "answered", 200;
    /// The response was sent before and is no longer stored.
    AnswerGone = "answer-gone", 409;
    /// The request's header section or body is malformed.
    BadRequest = "bad-request", 400;
    /// The caller disconnected before the response.
    CallerGone = "caller-gone", 499;
    /// The connection to the upstream could not be opened.
    ConnectFailed = "connect-failed", 503;
    /// The deadline passed.
    DeadlinePast = "deadline-past", 504;
    /// The upstreams may be in a gray failure, and the request can go to another gate.
    Doubtful = "doubtful", 503;
    /// The gate had received the attempt before.
    Duplicate = "duplicate", 502;
    /// A response belongs to another request or does not come from an upstream.
    ForeignAnswer = "foreign-answer", 502;
    /// The header section is too large.
    HeadersTooLarge = "headers-too-large", 431;
    /// The home node of the ticket cannot be reached.
    HomeLost = "home-lost", 502;
    /// The attempt was addressed to an earlier incarnation of the gate's node.
    Outdated = "outdated", 502;
    /// The node or the upstream is shutting down.
    Leaving = "leaving", 503;
    /// The gate did not respond.
    Lost = "lost", 502;
    /// The node holds as much memory for others as it may.
    MemoryLimit = "memory-limit", 503;
    /// No gate offers the service.
    NoGate = "no-gate", 503;
    /// No route matches.
    NoRoute = "no-route", 404;
    /// No configuration has been received yet.
    NotConfigured = "not-configured", 503;
    /// The gate has no upstream of the service.
    NoUpstream = "no-upstream", 503;
    /// The organisation has too many requests in flight.
    OrganisationLimit = "organisation-limit", 429;
    /// The organisation has used up its allowance of requests per second.
    OverAllowance = "over-allowance", 429;
    /// The queue timeout of the request expired before it got a slot.
    PatienceSpent = "patience-spent", 503;
    /// The expected wait for a slot exceeds the time that the request may wait.
    QueueFull = "queue-full", 503;
    /// The upstream limits the rate of its requests.
    RateLimited = "rate-limited", 503;
    /// The body of the request did not arrive in time.
    RequestTimeout = "request-timeout", 408;
    /// The upstream shed the request without running it.
    Shed = "shed", 503;
    /// The body exceeds the limit for callers.
    BodyTooLarge = "body-too-large", 413;
    /// The time left is below the fastest time that such requests take.
    TooLate = "too-late", 503;
    /// The ticket is too old for its outcome to be known.
    TicketExpired = "ticket-expired", 410;
    /// The ticket was never issued or is malformed.
    TicketInvalid = "ticket-invalid", 400;
    /// The ticket was used for another request.
    TicketMismatch = "ticket-mismatch", 422;
    /// The request with this ticket was refused before.
    TicketRefused = "ticket-refused", 409;
    /// The key of the request belongs to no organisation, or the request has none.
    UnknownKey = "unknown-key", 401;
    /// The gate cannot be reached.
    Unreachable = "unreachable", 503;
    /// The upstream failed after it may have started to run the request.
    UpstreamFailed = "upstream-failed", 502;
    /// The upstream has not responded for many times the usual latency.
    Stuck = "stuck", 504;
    /// All workers of the node are busy.
    WorkersBusy = "workers-busy", 503;
}

impl Reason {
    /// Returns the reason with this name.
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
