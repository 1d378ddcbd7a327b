//! A day as the bound sees it: services with their servers and troubles, and kinds of requests with their arrivals, deadlines and
//! work. Read from a file, whose form is in docs/OPERATIONS.md, and checked.

use serde::Deserialize;
use std::path::Path;
use thiserror::Error;

/// Seconds since the beginning of the day.
pub type DaySecond = u32;

/// Why a plan can't be used.
#[derive(Debug, Error)]
pub enum DayPlanError {
    /// The file can't be read.
    #[error("{path}: {source}; name a file that this user may read")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The file is not a plan.
    #[error("{path}: {source}; see docs/OPERATIONS.md for the form of a plan")]
    Malformed {
        /// The file.
        path: String,
        /// Where it is wrong.
        source: Box<toml::de::Error>,
    },
    /// A figure out of its range.
    #[error("{what} is {value}: give {wanted}")]
    Figure {
        /// Which figure, and of what.
        what: String,
        /// The figure.
        value: f64,
        /// What is allowed.
        wanted: &'static str,
    },
    /// Work at a service that is not in the plan.
    #[error(
        "request {request:?} asks for service {service:?}, which the plan lacks: add it or correct the name"
    )]
    UnknownService {
        /// The kind of request.
        request: String,
        /// The name.
        service: String,
    },
}

/// A day of one deployment.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DayPlan {
    /// Length in seconds.
    pub seconds: DaySecond,
    /// The services.
    pub services: Vec<ServicePlan>,
    /// The kinds of requests that come from outside.
    pub requests: Vec<RequestPlan>,
}

/// A service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePlan {
    /// Its name.
    pub name: String,
    /// Its servers.
    pub servers: Vec<ServerPlan>,
    /// When its servers refuse a share of the calls that they get.
    #[serde(default)]
    pub refusals: Vec<RefusalSpan>,
}

/// A server.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerPlan {
    /// Calls that it works on at the same time.
    pub slots: u32,
    /// Seconds of work that each slot does in a second.
    pub speed: f64,
    /// When it is away.
    #[serde(default)]
    pub away: Vec<DaySpan>,
    /// When it is slower.
    #[serde(default)]
    pub slow: Vec<SlowSpan>,
}

/// From one second to before another.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaySpan {
    /// The first second.
    pub from: f64,
    /// The end.
    pub to: f64,
}

/// A span in which a server is slower.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlowSpan {
    /// The first second.
    pub from: f64,
    /// The end.
    pub to: f64,
    /// How many times as long its work takes.
    pub by: f64,
}

/// A span in which servers refuse calls without working on them.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RefusalSpan {
    /// The first second.
    pub from: f64,
    /// The end.
    pub to: f64,
    /// Share of the calls, 0 to 1.
    pub share: f64,
}

/// A kind of request.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestPlan {
    /// Its name.
    pub name: String,
    /// What an answer within the objective earns.
    pub credit: f64,
    /// What a later answer earns.
    pub late_credit: f64,
    /// Seconds within which an answer is early.
    pub objective: f64,
    /// Seconds after which it earns nothing.
    pub deadline: f64,
    /// How many come.
    pub arrivals: Vec<ArrivalRate>,
    /// What it asks of each service, the calls it causes included.
    pub work: Vec<WorkPlan>,
}

/// Requests a second from some moment on.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ArrivalRate {
    /// The second from which it holds, until the next rate does.
    pub from: f64,
    /// Requests a second.
    pub per_second: f64,
}

/// Work at one service for one request.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkPlan {
    /// The service.
    pub service: String,
    /// Calls of the service.
    pub calls: u32,
    /// Seconds of work of all these calls, at speed 1.
    pub seconds: f64,
}

impl DayPlan {
    /// Reads a plan and checks its figures.
    ///
    /// # Errors
    /// A [`DayPlanError`] that names the file or the figure.
    pub fn read(path: &Path) -> Result<Self, DayPlanError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| DayPlanError::Unreadable { path: name.clone(), source })?;
        let plan: Self = toml::from_str(&text)
            .map_err(|source| DayPlanError::Malformed { path: name, source: Box::new(source) })?;
        plan.check()?;
        Ok(plan)
    }

    /// Checks the figures.
    ///
    /// # Errors
    /// The first figure that is out of its range, or a service that is missing.
    pub fn check(&self) -> Result<(), DayPlanError> {
        require("seconds", f64::from(self.seconds), self.seconds > 0, "at least 1")?;
        self.services.iter().try_for_each(ServicePlan::check)?;
        self.requests.iter().try_for_each(|request| self.check_request(request))
    }

    fn check_request(&self, request: &RequestPlan) -> Result<(), DayPlanError> {
        let of = |what: &str| format!("{what} of {}", request.name);
        require(&of("objective"), request.objective, request.objective >= 0.0, "0 or more")?;
        let ordered = request.deadline >= request.objective;
        require(&of("deadline"), request.deadline, ordered, "the objective or more")?;
        for rate in &request.arrivals {
            require(&of("per_second"), rate.per_second, rate.per_second >= 0.0, "0 or more")?;
        }
        for work in &request.work {
            require(&of("seconds of work"), work.seconds, work.seconds >= 0.0, "0 or more")?;
            if !self.services.iter().any(|service| service.name == work.service) {
                return Err(DayPlanError::UnknownService {
                    request: request.name.clone(),
                    service: work.service.clone(),
                });
            }
        }
        Ok(())
    }
}

fn require(what: &str, value: f64, holds: bool, wanted: &'static str) -> Result<(), DayPlanError> {
    if holds { Ok(()) } else { Err(DayPlanError::Figure { what: what.to_owned(), value, wanted }) }
}

impl ServicePlan {
    fn check(&self) -> Result<(), DayPlanError> {
        for server in &self.servers {
            let what = format!("speed of a server of {}", self.name);
            require(&what, server.speed, server.speed > 0.0, "more than 0")?;
            for span in &server.slow {
                let what = format!("by of a slow server of {}", self.name);
                require(&what, span.by, span.by >= 1.0, "1 or more")?;
            }
        }
        for span in &self.refusals {
            let what = format!("share of refusals of {}", self.name);
            require(&what, span.share, (0.0..=1.0).contains(&span.share), "0 to 1")?;
        }
        Ok(())
    }

    /// Seconds of work that its servers can do in this second.
    #[must_use]
    pub fn capacity(&self, second: DaySecond) -> f64 {
        self.servers.iter().map(|server| server.capacity(second)).sum()
    }

    /// Share of the calls that a server refuses in this second, 0 to 1.
    #[must_use]
    pub fn refusal_share(&self, second: DaySecond) -> f64 {
        self.refusals
            .iter()
            .map(|span| span.share * overlap(span.from, span.to, second))
            .sum::<f64>()
            .min(1.0)
    }
}

impl ServerPlan {
    fn capacity(&self, second: DaySecond) -> f64 {
        let away: f64 = self.away.iter().map(|span| overlap(span.from, span.to, second)).sum();
        let lost: f64 =
            self.slow.iter().map(|span| overlap(span.from, span.to, second) * (1.0 - 1.0 / span.by)).sum();
        f64::from(self.slots) * self.speed * (1.0 - away.min(1.0)) * (1.0 - lost.min(1.0))
    }
}

impl RequestPlan {
    /// Requests that arrive in this second.
    #[must_use]
    pub fn arriving(&self, second: DaySecond) -> f64 {
        let ends = self.arrivals.iter().skip(1).map(|rate| rate.from).chain([f64::INFINITY]);
        self.arrivals
            .iter()
            .zip(ends)
            .map(|(rate, end)| rate.per_second * overlap(rate.from, end, second))
            .sum()
    }
}

/// The share of a second that lies between `from` and `to`, 0 to 1.
fn overlap(from: f64, to: f64, second: DaySecond) -> f64 {
    let start = f64::from(second);
    (to.min(start + 1.0) - from.max(start)).max(0.0)
}
