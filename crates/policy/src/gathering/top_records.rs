//! The greatest records of several parts.

/// Size of a record, in bytes.
const RECORD: usize = 16;

/// Keeps the greatest records of all parts that were added. Records compare byte by byte, which is
/// the order of the big-endian numbers that they spell.
#[derive(Debug, Clone)]
pub struct TopRecords {
    limit: usize,
    records: Vec<u128>,
}

impl TopRecords {
    /// Creates an empty set of at most `limit` records.
    pub fn new(limit: usize) -> Self {
        Self { limit, records: Vec::with_capacity(limit.min(1_024) * 2) }
    }

    /// Adds the records of one part; a remainder shorter than a record is none.
    pub fn add(&mut self, part: &[u8]) {
        for record in part.chunks_exact(RECORD) {
            let bytes: [u8; RECORD] = record.try_into().expect("chunks have the size of a record");
            self.records.push(u128::from_be_bytes(bytes));
        }
        self.shrink();
    }

    /// Returns the records, greatest first.
    pub fn finish(mut self) -> Vec<u8> {
        self.records.sort_unstable_by(|a, b| b.cmp(a));
        self.records.truncate(self.limit);
        self.records.iter().flat_map(|record| record.to_be_bytes()).collect()
    }

    fn shrink(&mut self) {
        if self.records.len() <= self.limit {
            return;
        }
        if self.limit > 0 {
            self.records.select_nth_unstable_by(self.limit - 1, |a, b| b.cmp(a));
        }
        self.records.truncate(self.limit);
    }
}
