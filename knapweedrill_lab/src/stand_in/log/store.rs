//! The in-memory store of the log.

use std::collections::VecDeque;

use knapweedrill::common::LogOffset;

use super::{LogRecord, ReadResponse};

/// Keeps the newest records of a log in memory.
#[derive(Debug)]
pub struct LogStore {
    records: VecDeque<LogRecord>,
    next_offset: LogOffset,
    retention_count: usize,
}

impl LogStore {
    /// Creates an empty log that keeps the newest `retention_count` records.
    pub fn new(retention_count: usize) -> Self {
        Self {
            records: VecDeque::new(),
            next_offset: 0,
            retention_count,
        }
    }

    /// Appends a record and returns its offset.
    pub fn append(&mut self, body: impl Into<String>) -> LogOffset {
        let offset = self.next_offset;
        self.next_offset += 1;
        self.records.push_back(LogRecord {
            offset,
            body: body.into(),
        });
        self.retain(self.retention_count);
        offset
    }

    /// Drops the oldest records until at most `record_count` are left.
    pub fn retain(&mut self, record_count: usize) {
        while self.records.len() > record_count {
            self.records.pop_front();
        }
    }

    /// Returns up to `max_count` records, starting at offset `from` or at the oldest retained
    /// record, whichever is later.
    pub fn read(&self, from: LogOffset, max_count: usize) -> ReadResponse {
        let first_offset = self.first_offset();
        let start = from.max(first_offset);
        let records: Vec<LogRecord> = self
            .records
            .iter()
            .filter(|record| record.offset >= start)
            .take(max_count)
            .cloned()
            .collect();
        let next_offset = records
            .last()
            .map_or(start.min(self.next_offset), |record| record.offset + 1);
        ReadResponse {
            first_offset,
            next_offset,
            records,
        }
    }

    fn first_offset(&self) -> LogOffset {
        self.records
            .front()
            .map_or(self.next_offset, |record| record.offset)
    }
}
