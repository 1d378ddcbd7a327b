//! Retry tokens of one request over its whole chain of calls.
//!
//! Decides whether a dispatch of a call costs a token, whether a token is left, and how many tokens go with a
//! child call. The inputs are the dispatches of the child calls of one running call and how they ended.
//!
//! Tokens are split, never copied: tokens given to a child leave this ledger, and what the child did not
//! spend comes back with its answer. Tokens whose answer is lost count as spent. So the tokens in all ledgers
//! of a request, plus those in messages and those spent, never exceed what the root was given, and the
//! retries caused by one request stay within a fixed total however deep the chain is. Alternatives:
//! docs/DESIGN.md#tokens-of-one-request. A model check covers this rule.

use crate::identity::Fingerprint;

/// Result of registering a dispatch of a child call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Dispatch {
    /// The dispatch cost a token.
    pub charged: bool,
    /// An earlier dispatch of the same call may have run, and so may its children.
    pub repeat: bool,
}

/// How one dispatch of a child call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChildEnd {
    /// With a complete answer that is not a failure.
    Succeeded,
    /// In any other way after which the call may have run.
    Failed,
    /// Proven not to have run.
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

/// The retry tokens that one running call holds, and the child calls that it made.
///
/// If a call repeats one that may have run (`repeat`), its children may have run too. Each of its child
/// dispatches then costs a token, so that a whole chain makes at most `tokens` dispatches beyond its distinct
/// calls, at any depth.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RetryLedger {
    tokens: u32,
    repeat: bool,
    /// The call has ended and its remaining tokens were returned.
    closed: bool,
    children: Vec<Child>,
}

impl RetryLedger {
    /// Creates a ledger that holds `tokens`; `repeat` tells whether this call may have run before.
    #[must_use]
    pub fn new(tokens: u32, repeat: bool) -> Self {
        Self { tokens, repeat, closed: false, children: Vec::new() }
    }

    /// Tokens left.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Ends the call and returns its unspent tokens, which go back to the parent. Child calls that are still
    /// in flight, for example of a server that breaks off its answer and goes on calling, cannot spend them
    /// any more.
    pub fn close(&mut self) -> u32 {
        self.closed = true;
        std::mem::take(&mut self.tokens)
    }

    /// Whether this call may have run before.
    #[must_use]
    pub fn is_repeat(&self) -> bool {
        self.repeat
    }

    /// Registers a dispatch of the child call `call`, charging a token if it is a retry.
    ///
    /// A call whose earlier dispatches have all succeeded counts as a new call with the same content, not as
    /// a retry.
    ///
    /// # Errors
    /// [`TokensExhausted`] if the dispatch costs a token and none is left; the ledger is unchanged then.
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

    /// Charges a resend by this daemon of a call that is already registered.
    ///
    /// # Errors
    /// [`TokensExhausted`] if none is left.
    pub fn spend(&mut self) -> Result<(), TokensExhausted> {
        self.tokens = self.tokens.checked_sub(1).ok_or(TokensExhausted)?;
        Ok(())
    }

    /// Whether any child call was made.
    #[must_use]
    pub fn has_children(&self) -> bool {
        !self.children.is_empty()
    }

    /// Takes out the tokens that go with a child call: half of them, rounded up.
    ///
    /// Rounding up lets the last token reach the deepest call, which is nearest to the failure; keeping half
    /// leaves this level some tokens if the answer is lost.
    pub fn hand_over(&mut self) -> u32 {
        let share = self.tokens.div_ceil(2);
        self.tokens -= share;
        share
    }

    /// Returns the tokens that a child did not spend, at most the `handed_over` ones, so that a peer cannot
    /// create tokens. Has no effect once this call has ended.
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
