//! The simulated store: rows, eras, copies, writes that take effect late.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use dotterellane_decisions::leader_lease::LeaseRow;
use dotterellane_decisions::stream_versions::{OriginReport, VersionHistory};
use dotterellane_units::{RowVersion, StoreEra, StoreInstant};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Interval between two copies of the store, and how many are kept.
const COPY_INTERVAL_MS: u64 = 500;
const MAX_COPIES: usize = 10;

/// Key of an archive row: host, its incarnation and the row's number.
pub type ArchiveKey = (usize, u64, u64);

/// Streams in an archive row, and when it was written.
#[derive(Clone, Debug, Default)]
pub struct ArchiveRow {
    pub written_at: StoreInstant,
    pub reports: Vec<OriginReport>,
}

/// Content of the store.
#[derive(Clone, Debug, Default)]
pub struct StoreRows {
    counter: u64,
    pub lease: Option<(u64, LeaseRow)>,
    pub history: Option<(u64, VersionHistory)>,
    /// Upstreams that have a row.
    pub listed: BTreeSet<usize>,
    pub archive: BTreeMap<ArchiveKey, ArchiveRow>,
}

/// The store. Times are milliseconds of true time.
#[derive(Debug, Default)]
pub struct SimulatedStore {
    pub era: StoreEra,
    clock_offset: i64,
    pub rows: StoreRows,
    copies: VecDeque<StoreRows>,
    pub away_until: u64,
}

impl SimulatedStore {
    pub fn new(random: &mut Pcg64Mcg) -> Self {
        let clock_offset = random.random_range(200_000..10_000_000);
        Self { clock_offset, ..Self::default() }
    }

    pub fn clock(&self, now: u64) -> StoreInstant {
        StoreInstant(now.saturating_add_signed(self.clock_offset))
    }

    pub fn version(&self, number: Option<u64>) -> RowVersion {
        RowVersion { era: self.era, number: number.unwrap_or(0) }
    }

    pub fn next_number(&mut self) -> u64 {
        self.rows.counter += 1;
        self.rows.counter
    }

    pub fn keep_copy(&mut self, now: u64) {
        if now.is_multiple_of(COPY_INTERVAL_MS) {
            self.copies.push_back(self.rows.clone());
            self.copies.drain(..self.copies.len().saturating_sub(MAX_COPIES));
        }
    }

    /// Replaces the rows by a copy of a random age, in the next era, and moves the clock.
    pub fn restore(&mut self, random: &mut Pcg64Mcg, clock_jump: i64) {
        if self.copies.is_empty() {
            return;
        }
        let copy = random.random_range(0..self.copies.len());
        self.rows = self.copies[copy].clone();
        self.copies.clear();
        self.era = self.era.next();
        self.clock_offset += clock_jump;
    }
}
