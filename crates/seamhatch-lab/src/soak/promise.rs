//! What a soak checks, and what it found broken.

/// What a deployment promises its callers and operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// Retries of a request stay within its total.
    RetriesBounded,
    /// Each caller gets the complete answer to its own request.
    AnswersWhole,
    /// A request that is refused as not run was not run anywhere.
    RefusalsTrue,
    /// A refusal has a `Retry-After`.
    RefusalsAdvise,
    /// A request that may not be repeated runs at most once.
    AtMostOnce,
    /// A planned stop cuts off no request.
    StopsCutNothing,
    /// Where nothing happens but planned stops and changes, no request is refused for want of witnesses, or fails although each service has
    /// an open server.
    StopsKeepServing,
    /// A daemon never goes back to an older configuration.
    ConfigurationForward,
    /// A daemon in touch decides no request by a configuration that is too old.
    ConfigurationInTime,
    /// An accepted configuration is in force everywhere.
    ConfigurationEverywhere,
    /// A service with a living server is found.
    ServersFound,
    /// A request that crashes servers crashes few of them.
    CrashesContained,
    /// A back end that names a rate gets calls at no higher one.
    RatesKept,
    /// A back end that has said that it leaves gets nothing more.
    LeavingRests,
    /// No other request is refused for crashes.
    HarmlessServed,
    /// After the faults all requests are served again.
    Recovers,
}

/// One case in which a promise was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// The request or daemon that shows it.
    pub subject: String,
    /// What was seen.
    pub detail: String,
}

pub(super) fn violation(promise: Promise, subject: impl ToString, detail: String) -> Violation {
    Violation { promise, subject: subject.to_string(), detail }
}
