//! What a restarted daemon has been handed back.

use crate::clock::Instant;
use crate::instance::InstanceId;
use std::collections::BTreeMap;

/// Maximum number of restored calls; further ones are dropped.
const MAX_RESTORED_CALLS: usize = 4096;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct RestoredCall<T> {
    /// The instance that runs it; `None` if its sender does not know.
    instance: Option<InstanceId>,
    expiry: Instant,
    call: T,
}

/// Calls that run on the back end since before this daemon started, by name.
///
/// Nothing ends such a call here, since its answer goes to a connection that no longer exists, so it counts until its
/// deadline. It belongs to one instance of the back end and is forgotten when another one opens.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RestoredCalls<T> {
    by_name: BTreeMap<String, RestoredCall<T>>,
    /// The instance that takes calls, if instances register and one has opened.
    open: Option<InstanceId>,
}

impl<T> Default for RestoredCalls<T> {
    fn default() -> Self {
        Self { by_name: BTreeMap::new(), open: None }
    }
}

impl<T> RestoredCalls<T> {
    /// Adds a call with the deadline `expiry` that `instance` runs, unless it can't run any more or there are too many.
    pub fn add(
        &mut self,
        name: String,
        instance: Option<InstanceId>,
        expiry: Instant,
        call: T,
        now: Instant,
    ) {
        let is_others = instance.is_some() && self.open.is_some() && instance != self.open;
        if is_others || expiry <= now {
            return;
        }
        if self.by_name.len() >= MAX_RESTORED_CALLS {
            self.by_name.retain(|_, known| known.expiry > now);
        }
        if self.by_name.len() < MAX_RESTORED_CALLS {
            self.by_name.insert(name, RestoredCall { instance, expiry, call });
        }
    }

    /// Returns the call with this name.
    #[must_use]
    pub fn find(&self, name: &str, now: Instant) -> Option<&T> {
        let restored = self.by_name.get(name).filter(|restored| restored.expiry > now)?;
        Some(&restored.call)
    }

    /// Records that an instance of the back end takes calls. The calls of others are forgotten.
    pub fn note_open(&mut self, instance: &InstanceId) {
        let runs_there =
            |restored: &RestoredCall<T>| restored.instance.as_ref().is_none_or(|own| own == instance);
        self.by_name.retain(|_, restored| runs_there(restored));
        self.open = Some(instance.clone());
    }
}
