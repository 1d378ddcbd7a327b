//! Admission floor of a service, combined from the floors of its servers.
//!
//! Decides one admission floor for a service from the reports of its servers: the mean of their floors,
//! weighted by their concurrency limits. The input is the last report of each server that this daemon is
//! connected to, at most `REPORT_LIFETIME` old.
//!
//! This protects the capacity of a service that has a cold or slow server. Calls are routed to the servers
//! that have room, so the weakest server must not close the whole service: with the lowest floor of any
//! server, two of three servers use a quarter of their slots for three seconds. Alternatives:
//! docs/DESIGN.md#the-floor-of-a-service. The daemon's part is `seamhatchd::limits::service_floors`.

use crate::clock::{Instant, Microseconds, SECOND};
use crate::identity::Address;
use crate::priority::{AdmissionFloor, PriorityClass};
use std::collections::HashMap;

/// Reports older than this are ignored, as the server has ended or cannot be reached: two heartbeats of an
/// idle daemon (400 ms each) with a margin for a late one.
const REPORT_LIFETIME: Microseconds = SECOND;

/// Report of one server.
#[derive(Debug, Clone, Copy)]
struct ServerFloor {
    floor: AdmissionFloor,
    /// Concurrency limit of the server.
    limit: u32,
    reported: Instant,
}

/// Last report of each server, by service.
#[derive(Debug, Default)]
pub struct ServiceFloorTable {
    services: HashMap<String, ServiceReports>,
}

/// Last reports of the servers of one service, and their sums. Reports come with each answer, so sums are
/// kept to get the mean at a cost that does not depend on the number of servers.
#[derive(Debug, Default)]
struct ServiceReports {
    reports: HashMap<Address, ServerFloor>,
    /// Sums over all of `reports`.
    sums: FloorSums,
    /// No report is older than this.
    oldest: Option<Instant>,
}

/// Sums of floors, each weighted by the slots of its server. Integers, so that a report can be subtracted
/// exactly.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct FloorSums {
    slots: u64,
    level: u64,
    kept: [u64; PriorityClass::ALL.len()],
}

impl ServiceFloorTable {
    /// Records the floor and the concurrency limit that a server reports. Returns the floor of the service
    /// over all reports.
    pub fn record(
        &mut self,
        service: &str,
        server: Address,
        floor: AdmissionFloor,
        limit: u32,
        now: Instant,
    ) -> AdmissionFloor {
        let report = ServerFloor { floor, limit, reported: now };
        if let Some(reports) = self.services.get_mut(service) {
            return reports.record(server, report);
        }
        self.services.entry(service.to_owned()).or_default().record(server, report)
    }

    /// Removes a server that accepts no more calls, or to which there is no connection any more.
    pub fn forget(&mut self, service: &str, server: Address) {
        if let Some(reports) = self.services.get_mut(service) {
            reports.remove(server);
        }
    }

    /// Floor of the service; `None` if it admits everything, as far as is known.
    #[must_use]
    pub fn floor(&self, service: &str, now: Instant) -> Option<AdmissionFloor> {
        let floor = self.services.get(service)?.mean(now);
        (!floor.is_open()).then_some(floor)
    }
}

impl ServiceReports {
    fn record(&mut self, server: Address, report: ServerFloor) -> AdmissionFloor {
        let now = report.reported;
        self.sums.add(report);
        if let Some(earlier) = self.reports.insert(server, report) {
            self.sums.subtract(earlier);
        }
        self.oldest = Some(self.oldest.map_or(now, |oldest| oldest.min(now)));
        if !self.are_fresh(now) {
            self.drop_old(now);
        }
        self.sums.mean()
    }

    fn remove(&mut self, server: Address) {
        if let Some(report) = self.reports.remove(&server) {
            self.sums.subtract(report);
        }
    }

    fn mean(&self, now: Instant) -> AdmissionFloor {
        if self.are_fresh(now) {
            return self.sums.mean();
        }
        // Until the next report removes the expired ones.
        let mut sums = FloorSums::default();
        self.reports.values().filter(|report| report.is_fresh(now)).for_each(|report| sums.add(*report));
        sums.mean()
    }

    /// Whether no report can have expired.
    fn are_fresh(&self, now: Instant) -> bool {
        self.oldest.is_none_or(|oldest| is_fresh(oldest, now))
    }

    fn drop_old(&mut self, now: Instant) {
        self.reports.retain(|_, report| {
            let is_fresh = report.is_fresh(now);
            if !is_fresh {
                self.sums.subtract(*report);
            }
            is_fresh
        });
        self.oldest = self.reports.values().map(|report| report.reported).min();
    }
}

impl FloorSums {
    fn add(&mut self, report: ServerFloor) {
        let weight = u64::from(report.limit);
        self.slots += weight;
        self.level += weight * u64::from(report.floor.level);
        self.kept.iter_mut().zip(report.floor.kept).for_each(|(sum, kept)| *sum += weight * u64::from(kept));
    }

    /// Subtracts a report that was added before.
    fn subtract(&mut self, report: ServerFloor) {
        let weight = u64::from(report.limit);
        self.slots -= weight;
        self.level -= weight * u64::from(report.floor.level);
        self.kept.iter_mut().zip(report.floor.kept).for_each(|(sum, kept)| *sum -= weight * u64::from(kept));
    }

    /// Like [`AdmissionFloor::mean`] over all added reports; open if there are no slots.
    fn mean(&self) -> AdmissionFloor {
        if self.slots == 0 {
            return AdmissionFloor::OPEN;
        }
        let share = |sum: u64| (sum as f64 / self.slots as f64).round();
        AdmissionFloor { level: share(self.level) as u16, kept: self.kept.map(|sum| share(sum) as u8) }
    }
}

impl ServerFloor {
    fn is_fresh(&self, now: Instant) -> bool {
        is_fresh(self.reported, now)
    }
}

fn is_fresh(reported: Instant, now: Instant) -> bool {
    now.since(reported) <= REPORT_LIFETIME
}
