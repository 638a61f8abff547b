//! The value in force: the greatest valid one ever seen.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::revision::Stamp;

/// Most invalid values that are remembered.
const MAX_REFUSED: usize = 64;

/// What became of an offered value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It is in force now.
    Adopted,
    /// It is in force already.
    Known,
    /// It is older than the one in force.
    Older,
    /// It was adopted or refused under a version that has two texts.
    Conflict {
        /// Whether the offered text is the one in force now.
        adopted: bool,
    },
    /// It is invalid; the old one stays in force.
    Invalid(String),
}

/// A value of type `T` with the text that it was read from.
#[derive(Debug)]
pub struct CurrentValue<T> {
    stamp: Stamp,
    text: Arc<str>,
    value: Option<Arc<T>>,
    /// Invalid values greater than the one in force.
    refused: BTreeSet<Stamp>,
}

impl<T> Default for CurrentValue<T> {
    fn default() -> Self {
        Self { stamp: Stamp::default(), text: "".into(), value: None, refused: BTreeSet::new() }
    }
}

impl<T> CurrentValue<T> {
    /// Offers a text; it comes into force whole when it is valid and greater than the present one.
    pub fn offer(
        &mut self,
        revision: u32,
        text: &str,
        parse: impl FnOnce(&str) -> Result<T, String>,
    ) -> OfferOutcome {
        let stamp = Stamp::new(revision, text);
        if stamp == self.stamp {
            return OfferOutcome::Known;
        }
        let conflict = revision == self.stamp.revision;
        if stamp < self.stamp {
            return if conflict {
                OfferOutcome::Conflict { adopted: false }
            } else {
                OfferOutcome::Older
            };
        }
        match parse(text) {
            Ok(value) => {
                self.stamp = stamp;
                self.text = text.into();
                self.value = Some(Arc::new(value));
                self.refused.retain(|refused| *refused > stamp);
                if conflict {
                    OfferOutcome::Conflict { adopted: true }
                } else {
                    OfferOutcome::Adopted
                }
            }
            Err(why) => {
                self.refused.insert(stamp);
                if self.refused.len() > MAX_REFUSED {
                    self.refused.pop_first();
                }
                OfferOutcome::Invalid(why)
            }
        }
    }

    /// Returns the value in force, or `None` before the first one.
    pub fn value(&self) -> Option<Arc<T>> {
        self.value.clone()
    }

    /// Returns the stamp of the value in force.
    pub fn stamp(&self) -> Stamp {
        self.stamp
    }

    /// Returns the text of the value in force.
    pub fn text(&self) -> Arc<str> {
        self.text.clone()
    }

    /// Returns whether a value with this stamp is worth fetching.
    pub fn wants(&self, stamp: Stamp) -> bool {
        stamp > self.stamp && !self.refused.contains(&stamp)
    }
}
