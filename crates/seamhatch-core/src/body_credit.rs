//! Flow control of bodies: when the receiver grants credit to the sender.
//!
//! [`OwedCredit`] decides how many bytes of credit to grant after a piece of a body is taken, from the size of the
//! piece and the sender's window, which both ends know.
//!
//! Credit is granted once half of the window is owed. A message for each piece would wake both daemons every time,
//! even for bodies that fit into the window and need no credit. The sender never stalls for good: when it has used up
//! its window, at least half of that is owed. The daemon uses this in `seamhatchd::peer::credit`.

/// Bytes of one body that were taken and for which the sender has not got credit yet.
#[derive(Debug, Clone)]
pub struct OwedCredit {
    owed: u32,
    /// Owed bytes from which on credit is granted.
    threshold: u32,
}

impl OwedCredit {
    /// Creates the state for a body whose sender starts with a window of this many bytes.
    #[must_use]
    pub const fn new(window: u32) -> Self {
        Self { owed: 0, threshold: window / 2 }
    }

    /// Records that a piece was taken. Returns the credit to grant, if any is due.
    pub fn take(&mut self, bytes: u32) -> Option<u32> {
        self.owed = self.owed.saturating_add(bytes);
        (self.owed >= self.threshold).then(|| std::mem::take(&mut self.owed))
    }
}
