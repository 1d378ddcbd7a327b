//! The configuration that this daemon holds. It only moves forward.
//!
//! [`ConfigurationController`] owns it for the control thread, which offers what it learns from the store, from other daemons and from
//! submissions. A daemon that is a witness also holds here what may soon be in force.

use crate::control::ConfigurationSource;
use crate::controllers::registration::newer;
use crate::ports::DocumentFormat;
use log::{error, info};
use seamhatch_core::generation::{Generation, Offer, Version, judge_offer};
use seamhatch_policy::{Configuration, StoredConfiguration};
use std::sync::Arc;

/// What becomes of an accepted configuration that can't be compiled here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnusableRule {
    /// It is held and passed on: its submitter's daemon could compile it, so this one is another version of the program.
    Hold,
    /// It is refused whole: nobody has checked it, and no daemon is better off with it.
    Refuse,
}

/// Holds the configuration in force, the newest one that may be in force (they differ only where this version of the daemon
/// can't compile it), and, as a witness, what may soon be in force.
#[derive(Debug)]
pub struct ConfigurationController {
    documents: Arc<dyn DocumentFormat>,
    unusable: UnusableRule,
    /// The newest version that was refused.
    refused: Option<Version>,
    held: Option<StoredConfiguration>,
    newest: Option<StoredConfiguration>,
    in_force: Option<(Generation, Arc<Configuration>)>,
}

impl ConfigurationController {
    /// Holds nothing yet; documents are compiled by `documents`.
    pub fn new(documents: Arc<dyn DocumentFormat>, unusable: UnusableRule) -> Self {
        Self { documents, unusable, refused: None, held: None, newest: None, in_force: None }
    }

    /// What reads and compiles documents.
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

    /// The newest accepted configuration that is known, in force or held as a witness.
    pub fn highest(&self) -> Option<StoredConfiguration> {
        newer(self.newest.clone(), self.held.clone())
    }

    /// What is held as a witness and not in force yet.
    pub fn held_not_in_force(&self) -> Option<&StoredConfiguration> {
        self.held.as_ref().filter(|held| held.generation > self.generation())
    }

    /// Holds a configuration as a witness. False when what is held contradicts it.
    pub fn hold(&mut self, stored: &StoredConfiguration) -> bool {
        let highest = self.highest();
        if highest.as_ref().is_none_or(|highest| highest.generation < stored.generation) {
            self.held = Some(stored.clone());
            return true;
        }
        highest.is_some_and(|highest| highest.includes(stored))
    }

    /// The configuration that decides now, and its generation.
    pub fn in_force(&self) -> Option<(Generation, Arc<Configuration>)> {
        self.in_force.clone()
    }

    /// Generation of the configuration that decides now; zero for none.
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
                "another configuration of the same generation was offered and refused: the store went back in time"
            ),
            Offer::Same | Offer::Stale => {}
        }
        offer
    }

    /// Whether this version was refused as it can't be used.
    pub fn has_refused(&self, version: Version) -> bool {
        self.refused == Some(version)
    }

    /// Generation of the newest configuration that was offered, whether or not it can be used; zero for none.
    pub fn newest_offered(&self) -> Generation {
        self.refused.map_or(self.generation(), |refused| refused.generation.max(self.generation()))
    }

    /// Brings a newer configuration into force; one that can't be compiled is held or refused.
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
