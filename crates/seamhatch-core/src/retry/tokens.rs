//! The retry tokens of one request over its whole chain of calls.
//!
//! Decides whether a dispatch of a call costs a token and whether one is left, and how many tokens travel with a child call.
//! Inputs are the dispatches of child calls of one running call and how they ended.
//!
//! Tokens are split, never copied: a child gets tokens that leave this ledger, and what it did not spend comes back with its
//! answer. What went out with a lost answer is spent. So the sum over all ledgers of a request, plus tokens in messages, plus
//! tokens spent, never exceeds what the root was given: retries caused by one request stay within a fixed total, however deep
//! the chain is. Alternatives: docs/DESIGN.md#tokens-of-one-request. A model check searches this rule.

use crate::identity::Fingerprint;

/// What a dispatch of a child call means for the daemon that runs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Dispatch {
    /// It cost a token.
    pub charged: bool,
    /// An earlier dispatch of the same call may have run, so its children may have too.
    pub repeat: bool,
}

/// How one dispatch of a child call ended, as far as its parent's ledger is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChildEnd {
    /// A complete answer that is not a failure.
    Succeeded,
    /// Anything else that may have run.
    Failed,
    /// Proven not run.
    NotRun,
}

/// No token is left for a dispatch that costs one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no retry token is left for this request; raise `retries` in the policy if it needs more")]
pub struct TokensExhausted;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Child {
    call: Fingerprint,
    in_flight: u32,
    succeeded: bool,
    may_have_run: bool,
}

/// The retry tokens that one running call holds, and the child calls it made.
///
/// A call that is itself a repeat (`repeat`) of one that may have run has children that may have run too. Each of its child
/// dispatches costs a token, so that a whole chain does at most `tokens` dispatches beyond its distinct calls, at any depth.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RetryLedger {
    tokens: u32,
    repeat: bool,
    /// The call has ended, and what was left has gone back.
    closed: bool,
    children: Vec<Child>,
}

impl RetryLedger {
    /// A ledger that holds `tokens`; `repeat` says that this call may have run before.
    #[must_use]
    pub fn new(tokens: u32, repeat: bool) -> Self {
        Self { tokens, repeat, closed: false, children: Vec::new() }
    }

    /// Tokens that are left.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Ends the call. Returns the tokens that it did not spend, which go back to its parent. Calls that it still has on their
    /// way, as when a server breaks off its answer and goes on calling, can't spend them any more.
    pub fn close(&mut self) -> u32 {
        self.closed = true;
        std::mem::take(&mut self.tokens)
    }

    /// Whether this call may have run before.
    #[must_use]
    pub fn is_repeat(&self) -> bool {
        self.repeat
    }

    /// Registers a dispatch of the child call `call`, charging a token when it is a retry.
    ///
    /// A call whose earlier dispatches have all succeeded is a new call of the
    /// same content, not a retry.
    ///
    /// # Errors
    /// [`TokensExhausted`] when it costs a token and none is left; nothing is changed then.
    pub fn begin(&mut self, call: Fingerprint) -> Result<Dispatch, TokensExhausted> {
        let earlier = self.children.iter().position(|child| child.call == call);
        let unresolved = earlier.is_some_and(|index| {
            let child = &self.children[index];
            child.in_flight > 0 || !child.succeeded
        });
        let charged = self.repeat || unresolved;
        if charged {
            self.spend()?;
        }
        let index = earlier.unwrap_or_else(|| {
            self.children.push(Child { call, in_flight: 0, succeeded: false, may_have_run: false });
            self.children.len() - 1
        });
        let child = &mut self.children[index];
        let ran_before = unresolved && (child.may_have_run || child.in_flight > 0);
        child.in_flight += 1;
        child.succeeded = false;
        Ok(Dispatch { charged, repeat: self.repeat || ran_before })
    }

    /// Charges the daemon's own re-dispatch of a call that is already registered.
    ///
    /// # Errors
    /// [`TokensExhausted`] when none is left.
    pub fn spend(&mut self) -> Result<(), TokensExhausted> {
        self.tokens = self.tokens.checked_sub(1).ok_or(TokensExhausted)?;
        Ok(())
    }

    /// Whether a child call was made.
    #[must_use]
    pub fn has_children(&self) -> bool {
        !self.children.is_empty()
    }

    /// Removes the share of tokens that goes out with a child call: half, rounded up.
    ///
    /// Rounding up lets a last token travel to the deepest call, nearest to the failure; keeping half leaves this level
    /// something when the answer is lost.
    pub fn hand_over(&mut self) -> u32 {
        let share = self.tokens.div_ceil(2);
        self.tokens -= share;
        share
    }

    /// Adds what a child did not spend, at most what was `handed_over` to it, so that a peer can't create tokens. After the end
    /// of this call nobody can use them.
    pub fn give_back(&mut self, unspent: u32, handed_over: u32) {
        if !self.closed {
            self.tokens += unspent.min(handed_over);
        }
    }

    /// Registers the end of one dispatch of the child call `call`.
    pub fn finish(&mut self, call: Fingerprint, end: ChildEnd) {
        let Some(child) = self.children.iter_mut().find(|child| child.call == call) else {
            return;
        };
        child.in_flight = child.in_flight.saturating_sub(1);
        child.succeeded = end == ChildEnd::Succeeded;
        child.may_have_run |= end != ChildEnd::NotRun;
    }
}
