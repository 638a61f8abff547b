//! Bounds of settings that several processes have.

use std::ops::RangeInclusive;

/// Least and most memory of a machine, in MB. An idle edge host uses about 7 MB.
pub(crate) const MEMORY_MB: RangeInclusive<u32> = 16..=1_048_576;

/// Least and most file descriptors of a process.
pub(crate) const DESCRIPTORS: RangeInclusive<u32> = 64..=1_048_576;
