//! The current value: the valid one with the greatest stamp ever offered.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::revision::Stamp;

/// Maximum number of stamps of invalid values that are kept, which bounds memory. The lowest stamps
/// are dropped first; a dropped value would only be fetched and rejected again.
const MAX_REJECTED: usize = 64;

/// What happened to an offered value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It is now the current value.
    Adopted,
    /// It already was the current value.
    Known,
    /// It is older than the current value.
    Older,
    /// It has the version of the current value but another text. The valid text with the greater
    /// hash is current.
    Conflict {
        /// Whether the offered text is now the current one.
        adopted: bool,
    },
    /// It is invalid for this reason; the current value stays.
    Invalid(String),
}

/// The current value, of type `T`, with the text that it was parsed from.
#[derive(Debug)]
pub struct CurrentValue<T> {
    stamp: Stamp,
    text: Arc<str>,
    value: Option<Arc<T>>,
    /// Stamps of invalid values that are greater than the current one.
    rejected: BTreeSet<Stamp>,
}

impl<T> Default for CurrentValue<T> {
    fn default() -> Self {
        Self { stamp: Stamp::default(), text: "".into(), value: None, rejected: BTreeSet::new() }
    }
}

impl<T> CurrentValue<T> {
    /// Offers a text. It becomes the current value if all of it is valid and its stamp is greater
    /// than the current stamp.
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
                self.rejected.retain(|rejected| *rejected > stamp);
                if conflict {
                    OfferOutcome::Conflict { adopted: true }
                } else {
                    OfferOutcome::Adopted
                }
            }
            Err(why) => {
                self.rejected.insert(stamp);
                if self.rejected.len() > MAX_REJECTED {
                    self.rejected.pop_first();
                }
                OfferOutcome::Invalid(why)
            }
        }
    }

    /// Returns the current value, or `None` before the first one.
    pub fn value(&self) -> Option<Arc<T>> {
        self.value.clone()
    }

    /// Returns the stamp of the current value, or the default stamp before the first one.
    pub fn stamp(&self) -> Stamp {
        self.stamp
    }

    /// Returns the text of the current value, or an empty text before the first one.
    pub fn text(&self) -> Arc<str> {
        self.text.clone()
    }

    /// Returns whether to fetch the value with this stamp: it is newer than the current one and not
    /// known to be invalid.
    pub fn wants(&self, stamp: Stamp) -> bool {
        stamp > self.stamp && !self.rejected.contains(&stamp)
    }
}
