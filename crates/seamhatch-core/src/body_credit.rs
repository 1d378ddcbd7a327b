//! When the receiver of a body tells its sender that it may send more.
//!
//! Decides how many bytes of credit go out after a piece of a body was taken. Inputs are the sender's window, which both
//! ends know, and the size of each piece.
//!
//! Credit goes out once half of the window is owed. A message for each piece would wake both daemons each time, even for
//! bodies that fit into the window and need no credit. The sender never stops for good: when it has used its window, at
//! least half of that is owed. The daemon's part is `seamhatchd::peer::credit`.

/// Bytes of one body that were taken and that its sender has got no credit for.
#[derive(Debug, Clone)]
pub struct OwedCredit {
    owed: u32,
    /// Bytes that may be owed before credit goes out.
    threshold: u32,
}

impl OwedCredit {
    /// Nothing was taken of a body whose sender began with a window of this many bytes.
    #[must_use]
    pub const fn new(window: u32) -> Self {
        Self { owed: 0, threshold: window / 2 }
    }

    /// Records that a piece was taken. Returns the credit to send, if any is due.
    pub fn take(&mut self, bytes: u32) -> Option<u32> {
        self.owed = self.owed.saturating_add(bytes);
        (self.owed >= self.threshold).then(|| std::mem::take(&mut self.owed))
    }
}
