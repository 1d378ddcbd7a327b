//! Admission floors of services, computed from the reports of their servers and shared by all
//! threads.
//!
//! Wraps the table in [`seamhatch_core::service_floor`], which makes the decisions, in a lock.
//! Connections to other daemons write it when a report arrives or a server leaves; the request path
//! reads it.

use crate::base::lock::lock;
use seamhatch_core::Instant;
use seamhatch_core::identity::Address;
use seamhatch_core::priority::AdmissionFloor;
use seamhatch_core::service_floor::ServiceFloorTable;
use seamhatch_wire::{ChainFloor, ServerReport};
use std::sync::{Mutex, MutexGuard};

/// The last report of each server that this daemon has a connection to, by service.
#[derive(Debug, Default)]
pub struct ServiceFloors(Mutex<ServiceFloorTable>);

impl ServiceFloors {
    /// Records a report. Returns the floor of the service by all reports.
    pub fn record(
        &self,
        service: &str,
        server: Address,
        report: ServerReport,
        now: Instant,
    ) -> AdmissionFloor {
        self.lock().record(service, server, report.floor, report.limit, now)
    }

    /// Removes a server that accepts no more calls, or whose connection has ended.
    pub fn forget(&self, service: &str, server: Address) {
        self.lock().forget(service, server);
    }

    /// Returns the floor of the service as it is reported up a chain of calls; `None` if the
    /// service admits everything.
    #[must_use]
    pub fn floor(&self, service: &str, now: Instant) -> Option<ChainFloor> {
        let floor = self.lock().floor(service, now)?;
        ChainFloor::unless_open(service, floor)
    }

    fn lock(&self) -> MutexGuard<'_, ServiceFloorTable> {
        lock(&self.0)
    }
}
