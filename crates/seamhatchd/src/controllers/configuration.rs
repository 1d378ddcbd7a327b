//! The configuration that this daemon holds. Its generation never decreases.
//!
//! [`ConfigurationController`] owns it for the control thread, which offers it the configurations received from the store,
//! other daemons and submissions. On a witness it also holds a configuration that may soon be in force.

use crate::control::ConfigurationSource;
use crate::controllers::registration::newer;
use crate::ports::DocumentFormat;
use log::{error, info};
use seamhatch_core::generation::{Generation, Offer, Version, judge_offer};
use seamhatch_policy::{Configuration, StoredConfiguration};
use std::sync::Arc;

/// Handling of an accepted configuration that can't be compiled here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnusableRule {
    /// Hold and forward it: the submitter's daemon could compile it, so this daemon runs another version of the program.
    Hold,
    /// Refuse it: no daemon has checked it before, and holding it benefits none.
    Refuse,
}

/// Holds the configuration in force, the newest one that may be in force (the two differ only if this version of the daemon
/// can't compile the newest), and, on a witness, one that may soon be in force.
#[derive(Debug)]
pub struct ConfigurationController {
    documents: Arc<dyn DocumentFormat>,
    unusable: UnusableRule,
    /// The last version that was refused.
    refused: Option<Version>,
    held: Option<StoredConfiguration>,
    newest: Option<StoredConfiguration>,
    in_force: Option<(Generation, Arc<Configuration>)>,
}

impl ConfigurationController {
    /// Creates a controller without a configuration; `documents` compiles documents.
    pub fn new(documents: Arc<dyn DocumentFormat>, unusable: UnusableRule) -> Self {
        Self { documents, unusable, refused: None, held: None, newest: None, in_force: None }
    }

    /// The format that reads and compiles documents.
    pub fn documents(&self) -> &Arc<dyn DocumentFormat> {
        &self.documents
    }

    /// The newest configuration that may be in force.
    pub fn newest(&self) -> Option<&StoredConfiguration> {
        self.newest.as_ref()
    }

    /// Generation of the newest configuration that may be in force; zero for none.
    pub fn generation(&self) -> Generation {
        self.newest.as_ref().map(|stored| stored.generation).unwrap_or_default()
    }

    /// The newest known accepted configuration, whether in force or held as a witness.
    pub fn highest(&self) -> Option<StoredConfiguration> {
        newer(self.newest.clone(), self.held.clone())
    }

    /// The configuration held as a witness, if it is not in force yet.
    pub fn held_not_in_force(&self) -> Option<&StoredConfiguration> {
        self.held.as_ref().filter(|held| held.generation > self.generation())
    }

    /// Holds a configuration as a witness. Returns false if it conflicts with the configuration already held.
    pub fn hold(&mut self, stored: &StoredConfiguration) -> bool {
        let highest = self.highest();
        if highest.as_ref().is_none_or(|highest| highest.generation < stored.generation) {
            self.held = Some(stored.clone());
            return true;
        }
        highest.is_some_and(|highest| highest.includes(stored))
    }

    /// The configuration in force, and its generation.
    pub fn in_force(&self) -> Option<(Generation, Arc<Configuration>)> {
        self.in_force.clone()
    }

    /// Generation of the configuration in force; zero for none.
    pub fn generation_in_force(&self) -> Generation {
        self.in_force.as_ref().map(|(generation, _)| *generation).unwrap_or_default()
    }

    /// Adopts an accepted configuration if it is newer than the one held.
    pub fn offer(&mut self, stored: StoredConfiguration, source: ConfigurationSource) -> Offer {
        if self.has_refused(stored.version()) {
            return Offer::Same;
        }
        let current = self.newest.as_ref().map(StoredConfiguration::version);
        let offer = judge_offer(current, stored.version());
        match offer {
            Offer::Adopt => return self.adopt(stored, source),
            Offer::Conflict => error!(
                generation = stored.generation.0;
                "refused another configuration of the same generation: the store has reverted to an older state"
            ),
            Offer::Same | Offer::Stale => {}
        }
        offer
    }

    /// Whether this version was refused because it can't be compiled.
    pub fn has_refused(&self, version: Version) -> bool {
        self.refused == Some(version)
    }

    /// Generation of the newest offered configuration, whether or not it is usable; zero for none.
    pub fn newest_offered(&self) -> Generation {
        self.refused.map_or(self.generation(), |refused| refused.generation.max(self.generation()))
    }

    /// Applies a newer configuration. One that can't be compiled is held or refused, according to [`UnusableRule`].
    fn adopt(&mut self, stored: StoredConfiguration, source: ConfigurationSource) -> Offer {
        match self.documents.compile(&stored.document) {
            Ok(configuration) => {
                info!(generation = stored.generation.0, source = source.name(); "configuration in force");
                self.in_force = Some((stored.generation, Arc::new(configuration)));
            }
            Err(problem) => {
                error!(
                    generation = stored.generation.0,
                    problem = problem.to_string().as_str();
                    "an accepted configuration can't be compiled here; the earlier one stays in force"
                );
                if self.unusable == UnusableRule::Refuse {
                    self.refused = Some(stored.version());
                    return Offer::Stale;
                }
            }
        }
        self.newest = Some(stored);
        Offer::Adopt
    }
}
