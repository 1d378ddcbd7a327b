//! Loopback addresses for emulated deployments: each machine has its own, so that fixed ports never collide.
//!
//! Deployments of several processes run beside each other. A network is taken by binding its lock port, which the
//! system allows once, and stays taken until shortly after its [`Network`] is dropped.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

/// Port whose listener marks a network as taken. Chosen: no daemon or stand-in listens there.
const LOCK_PORT: u16 = 7999;
/// Networks are 127.X.0.0/16 for X in this range. Chosen: 127.0 to 127.15 are left to other programs.
const FIRST: u8 = 16;
const LAST: u8 = 250;

/// A network stays taken for this long after its deployment, whose listeners end with their runtime, a moment later. Chosen, not
/// measured.
const RELEASE_PAUSE: Duration = Duration::from_secs(2);

static NEXT: AtomicU8 = AtomicU8::new(0);

/// A network of loopback addresses that no other deployment on this machine uses.
#[derive(Debug)]
pub struct Network {
    number: u8,
    lock: Option<TcpListener>,
}

impl Drop for Network {
    fn drop(&mut self) {
        let lock = self.lock.take();
        std::thread::spawn(move || {
            std::thread::sleep(RELEASE_PAUSE);
            drop(lock);
        });
    }
}

impl Network {
    /// Takes a free network, beginning at one that depends on this process, so that processes seldom try the same.
    ///
    /// # Errors
    /// All are taken.
    pub fn take() -> std::io::Result<Self> {
        let networks = LAST - FIRST + 1;
        let start = (std::process::id() % u32::from(networks)) as u8;
        for _ in 0..networks {
            let offset = NEXT.fetch_add(1, Ordering::Relaxed);
            let number = FIRST + (u16::from(start) + u16::from(offset)).rem_euclid(networks.into()) as u8;
            let lock = SocketAddr::new(Ipv4Addr::new(127, number, 255, 254).into(), LOCK_PORT);
            if let Ok(listener) = TcpListener::bind(lock) {
                return Ok(Self { number, lock: Some(listener) });
            }
        }
        Err(std::io::Error::other("all loopback networks are taken; stop other deployments"))
    }

    /// Address of a machine: group 0 is the platform, the others are the services.
    #[must_use]
    pub fn machine(&self, group: u8, member: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.number, group, member)
    }
}
