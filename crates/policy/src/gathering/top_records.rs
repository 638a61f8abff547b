//! Merge of the largest records of several parts.

/// Size of a record, in bytes.
const RECORD_BYTES: usize = 16;

/// Keeps the largest records of all parts that were added. Records are compared byte by byte, which
/// equals comparing them as big-endian integers.
#[derive(Debug, Clone)]
pub struct TopRecords {
    limit: usize,
    records: Vec<u128>,
}

impl TopRecords {
    /// Creates an empty collection that keeps at most `limit` records.
    pub fn new(limit: usize) -> Self {
        Self { limit, records: Vec::with_capacity(limit.min(1_024) * 2) }
    }

    /// Adds the records of one part. Trailing bytes that do not fill a record are ignored.
    pub fn add(&mut self, part: &[u8]) {
        for record in part.chunks_exact(RECORD_BYTES) {
            let bytes: [u8; RECORD_BYTES] =
                record.try_into().expect("each chunk has the size of a record");
            self.records.push(u128::from_be_bytes(bytes));
        }
        self.drop_smallest();
    }

    /// Returns the concatenated records, largest first.
    pub fn finish(mut self) -> Vec<u8> {
        self.records.sort_unstable_by(|a, b| b.cmp(a));
        self.records.truncate(self.limit);
        self.records.iter().flat_map(|record| record.to_be_bytes()).collect()
    }

    fn drop_smallest(&mut self) {
        if self.records.len() <= self.limit {
            return;
        }
        if self.limit > 0 {
            self.records.select_nth_unstable_by(self.limit - 1, |a, b| b.cmp(a));
        }
        self.records.truncate(self.limit);
    }
}
