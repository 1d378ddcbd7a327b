//! Calls that run on the back end since before this daemon started, as their senders hand them back.
//!
//! Nothing ends such a call here, since its answer goes to a connection that no longer exists, so it counts until its
//! deadline. It belongs to one instance of the back end and is forgotten when another one opens.

use super::RunningCall;
use seamhatch_core::Instant;
use seamhatch_core::instance::InstanceId;
use std::collections::HashMap;
use std::sync::Arc;

/// Maximum number of restored calls; further ones are dropped.
const MAX_RESTORED_CALLS: usize = 4096;

/// A call that its sender has handed back.
#[derive(Debug, Clone)]
pub struct RestoredCall {
    /// The instance that runs it; `None` if its sender does not know.
    pub instance: Option<InstanceId>,
    /// The call.
    pub call: Arc<RunningCall>,
}

/// The restored calls by name.
#[derive(Debug, Default)]
pub(super) struct RestoredCalls(HashMap<String, RestoredCall>);

impl RestoredCalls {
    /// Adds a call, unless there are too many or it belongs to another instance than `open`.
    pub(super) fn add(
        &mut self,
        name: String,
        restored: RestoredCall,
        open: Option<&InstanceId>,
        now: Instant,
    ) {
        let is_others = restored.instance.is_some() && open.is_some() && restored.instance.as_ref() != open;
        if is_others || restored.call.expiry <= now {
            return;
        }
        if self.0.len() >= MAX_RESTORED_CALLS {
            self.0.retain(|_, known| known.call.expiry > now);
        }
        if self.0.len() < MAX_RESTORED_CALLS {
            self.0.insert(name, restored);
        }
    }

    /// Returns the call with this name.
    pub(super) fn find(&self, name: &str, now: Instant) -> Option<Arc<RunningCall>> {
        let restored = self.0.get(name).filter(|restored| restored.call.expiry > now)?;
        Some(restored.call.clone())
    }

    /// Forgets the calls of instances other than the one that has opened.
    pub(super) fn keep_only(&mut self, open: &InstanceId) {
        self.0.retain(|_, restored| restored.instance.as_ref().is_none_or(|instance| instance == open));
    }
}
