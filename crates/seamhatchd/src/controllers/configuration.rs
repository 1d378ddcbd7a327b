//! The configuration that this daemon holds. It only moves forward.

use log::{error, info};
use seamhatch_core::generation::{Generation, Offer, judge_offer};
use seamhatch_policy::{Configuration, StoredConfiguration};
use std::sync::Arc;

/// Holds the newest accepted configuration that was seen, and the one in force.
#[derive(Debug, Default)]
pub struct ConfigurationController {
    newest: Option<StoredConfiguration>,
    in_force: Option<(Generation, Arc<Configuration>)>,
}

impl ConfigurationController {
    /// The newest accepted configuration that was seen.
    pub fn newest(&self) -> Option<&StoredConfiguration> {
        self.newest.as_ref()
    }

    /// Its generation, zero for none.
    pub fn generation(&self) -> Generation {
        self.newest.as_ref().map(|stored| stored.generation).unwrap_or_default()
    }

    /// What decides at present.
    pub fn in_force(&self) -> Option<(Generation, Arc<Configuration>)> {
        self.in_force.clone()
    }

    /// Takes in an accepted configuration, if it is newer than the one held.
    pub fn offer(&mut self, stored: StoredConfiguration) -> Offer {
        let current = self.newest.as_ref().map(StoredConfiguration::version);
        let offer = judge_offer(current, stored.version());
        match offer {
            Offer::Adopt => self.adopt(stored),
            Offer::Conflict => error!(
                generation = stored.generation.0;
                "another configuration of the same generation was offered and refused: the store went back in time"
            ),
            Offer::Same | Offer::Stale => {}
        }
        offer
    }

    fn adopt(&mut self, stored: StoredConfiguration) {
        match Configuration::compile(&stored.document) {
            Ok(configuration) => {
                info!(generation = stored.generation.0; "configuration in force");
                self.in_force = Some((stored.generation, Arc::new(configuration)));
            }
            // It was checked when it was accepted, so this daemon is of another build.
            Err(problem) => error!(
                generation = stored.generation.0,
                problem = problem.to_string().as_str();
                "an accepted configuration can't be compiled here; the earlier one stays in force"
            ),
        }
        self.newest = Some(stored);
    }
}
