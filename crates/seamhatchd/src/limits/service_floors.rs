//! What the servers of each service admit together, as their reports tell.
//!
//! Servers differ in speed, are cold or slow one at a time, and the choice of a server moves work to those
//! that have room. So what a service admits is the mean of its servers, not what the weakest one does.

use crate::base::lock::lock;
use seamhatch_core::Instant;
use seamhatch_core::clock::{Microseconds, SECOND};
use seamhatch_core::identity::Address;
use seamhatch_core::priority::AdmissionFloor;
use seamhatch_wire::{ChainFloor, ServerReport};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};

/// A report that is older than this counts for nothing: its server has ended, or can't be reached. Live
/// ones report each 400 ms.
const REPORT_LIFETIME: Microseconds = SECOND;

#[derive(Debug, Clone, Copy)]
struct DatedReport {
    report: ServerReport,
    seen: Instant,
}

/// The last report of each server that this daemon has a connection to, by service.
#[derive(Debug, Default)]
pub struct ServiceFloors(Mutex<HashMap<String, HashMap<Address, DatedReport>>>);

impl ServiceFloors {
    /// Takes in a report, and tells what the service admits by all of them.
    pub fn note(&self, service: &str, server: Address, report: ServerReport, now: Instant) -> AdmissionFloor {
        let mut services = self.lock();
        if !services.contains_key(service) {
            services.insert(service.to_owned(), HashMap::new());
        }
        let reports = services.get_mut(service).expect("inserted above");
        reports.insert(server, DatedReport { report, seen: now });
        reports.retain(|_, dated| now.since(dated.seen) <= REPORT_LIFETIME);
        combined(&*reports)
    }

    /// Forgets a server that takes no more work, or to which there is no connection any more.
    pub fn forget(&self, service: &str, server: Address) {
        if let Some(reports) = self.lock().get_mut(service) {
            reports.remove(&server);
        }
    }

    /// What the service admits, as a chain of calls tells it; none where it admits everything.
    #[must_use]
    pub fn of(&self, service: &str, now: Instant) -> Option<ChainFloor> {
        let services = self.lock();
        let reports = services.get(service)?.iter();
        let fresh = reports.filter(|(_, dated)| now.since(dated.seen) <= REPORT_LIFETIME);
        ChainFloor::unless_open(service, combined(fresh))
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, HashMap<Address, DatedReport>>> {
        lock(&self.0)
    }
}

fn combined<'a>(reports: impl IntoIterator<Item = (&'a Address, &'a DatedReport)>) -> AdmissionFloor {
    let floors = reports.into_iter().map(|(_, dated)| (dated.report.floor, dated.report.limit));
    AdmissionFloor::mean(floors).unwrap_or(AdmissionFloor::OPEN)
}
