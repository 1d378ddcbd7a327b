//! The floor of a service: what its servers admit together.
//!
//! Decides one admission floor for a service from the reports of its servers: the mean of their floors, weighted by their
//! concurrency limits. Inputs are the last report of each server that this daemon is connected to, at most
//! `REPORT_LIFETIME` old.
//!
//! It protects the capacity of a service of which one server is cold or slow: the choice of a server moves calls to those
//! that have room, so the weakest server must not close the service. With the lowest floor of any server, two of three
//! servers used a quarter of their slots for three seconds. Alternatives: docs/DESIGN.md#the-floor-of-a-service. The
//! daemon's part is `seamhatchd::limits::service_floors`.

use crate::clock::{Instant, Microseconds, SECOND};
use crate::identity::Address;
use crate::priority::AdmissionFloor;
use std::collections::HashMap;

/// A report that is older than this counts for nothing: its server has ended or can't be reached. Chosen, not measured:
/// two heartbeats of an idle daemon (400 ms each) with room for a late one.
const REPORT_LIFETIME: Microseconds = SECOND;

/// What one server admits.
#[derive(Debug, Clone, Copy)]
struct ServerFloor {
    floor: AdmissionFloor,
    /// Calls that may run there at once.
    limit: u32,
    reported: Instant,
}

/// The last report of each server, by service.
#[derive(Debug, Default)]
pub struct ServiceFloorTable {
    services: HashMap<String, HashMap<Address, ServerFloor>>,
}

impl ServiceFloorTable {
    /// Records the floor and the concurrency limit that a server reports. Returns what the service admits by all
    /// reports.
    pub fn note(
        &mut self,
        service: &str,
        server: Address,
        floor: AdmissionFloor,
        limit: u32,
        now: Instant,
    ) -> AdmissionFloor {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), HashMap::new());
        }
        let reports = self.services.get_mut(service).expect("inserted above");
        reports.insert(server, ServerFloor { floor, limit, reported: now });
        reports.retain(|_, report| report.is_fresh(now));
        mean(reports.values())
    }

    /// Forgets a server that accepts no more calls, or to which there is no connection any more.
    pub fn forget(&mut self, service: &str, server: Address) {
        if let Some(reports) = self.services.get_mut(service) {
            reports.remove(&server);
        }
    }

    /// What the service admits; none where it admits everything, as far as is known.
    #[must_use]
    pub fn of(&self, service: &str, now: Instant) -> Option<AdmissionFloor> {
        let reports = self.services.get(service)?.values();
        let floor = mean(reports.filter(|report| report.is_fresh(now)));
        (!floor.is_open()).then_some(floor)
    }
}

impl ServerFloor {
    fn is_fresh(&self, now: Instant) -> bool {
        now.since(self.reported) <= REPORT_LIFETIME
    }
}

fn mean<'a>(reports: impl IntoIterator<Item = &'a ServerFloor>) -> AdmissionFloor {
    let floors = reports.into_iter().map(|report| (report.floor, report.limit));
    AdmissionFloor::mean(floors).unwrap_or(AdmissionFloor::OPEN)
}
