//! The daemons of a soak: how many, and how they are numbered.

use std::ops::Range;

/// Position of a daemon, in the order of the topology.
pub type DaemonIndex = usize;

/// Servers of each service, where a plan doesn't say. Chosen: the fewest with which a service survives the loss of one.
pub const SERVERS: u8 = 2;

/// The daemons of a soak: the same number for each service, in the order of the services.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SoakFleet {
    /// Number of services.
    pub services: usize,
    /// Servers of each, with a daemon beside each.
    pub servers: u8,
}

impl SoakFleet {
    /// Number of daemons.
    #[must_use]
    pub fn daemons(self) -> usize {
        self.services * usize::from(self.servers)
    }

    /// The daemons of a service, by its position.
    #[must_use]
    pub fn of_service(self, service: usize) -> Range<DaemonIndex> {
        let servers = usize::from(self.servers);
        service * servers..(service + 1) * servers
    }
}
