//! The operators' side of the log: changes, their progress, history and earlier documents.

use std::sync::Arc;

use dotterellane_platform::TableTransaction;
use dotterellane_protocol::{LogBody, LogEntry, LogPosition};
use dotterellane_units::ConfigVersion;

use crate::control::{AppendError, FleetControl};
use crate::document_edits::find_edits;
use crate::log_state::LogSnapshot;
use crate::log_store::{LogError, READ_BATCH};
use crate::{
    AdministrationPorts, ChangeProgress, ChangeRecord, ConfigurationSnapshot, ProposalError,
    ProposedChange,
};

/// Entries that are searched for an earlier version.
const HISTORY_BOUND: u64 = 8_192;

impl FleetControl {
    /// Returns the operators' ports over this control.
    pub(crate) fn administration(self: &Arc<Self>) -> AdministrationPorts {
        let (proposer, progress) = (self.clone(), self.clone());
        let (historian, reader) = (self.clone(), self.clone());
        AdministrationPorts::new(
            self.configuration.clone(),
            move |change| proposer.clone().propose(change),
            move |version| progress.progress(version),
            move |limit| historian.clone().history(limit),
            move |version| reader.clone().content(version),
        )
    }

    async fn propose(
        self: Arc<Self>,
        change: ProposedChange,
    ) -> Result<ChangeRecord, ProposalError> {
        let document = serde_json::to_value(&change.document).map_err(|error| {
            ProposalError::TableDown { step: "encode the document", cause: error.to_string() }
        })?;
        let appended = self.append(change.change, |snapshot: &LogSnapshot| {
            if snapshot.version != change.expected {
                return Err(());
            }
            let body = LogBody::Configuration {
                version: snapshot.version.next(),
                operator: change.operator.clone(),
                summary: change.summary.clone(),
                edits: find_edits(&snapshot.document, &document),
            };
            Ok((body, TableTransaction::default()))
        });
        match appended.await {
            Ok(entry) => change_record(&entry).ok_or(ProposalError::Unknown {
                step: "propose",
                cause: "the change id names a change of another kind".to_owned(),
            }),
            Err(AppendError::Refused(())) => {
                Err(ProposalError::Raced { current: self.configuration.current() })
            }
            Err(AppendError::Down(error)) => {
                Err(ProposalError::TableDown { step: "propose", cause: error.to_string() })
            }
            Err(AppendError::Unknown(error)) => {
                Err(ProposalError::Unknown { step: "propose", cause: error.to_string() })
            }
        }
    }

    fn progress(&self, version: ConfigVersion) -> ChangeProgress {
        let state = self.state();
        let machine = &state.gossip.freshness;
        let position = state.log.position_of(version);
        let in_force = position.is_some_and(|position| position <= machine.heads().in_force);
        // A version that is not known here has been confirmed by nobody heard of.
        let position = position.unwrap_or(LogPosition(u64::MAX));
        let outstanding = match in_force {
            true => Vec::new(),
            false => machine.outstanding(position).into_iter().map(|seat| seat.host).collect(),
        };
        ChangeProgress { version, in_force, outstanding }
    }

    async fn history(self: Arc<Self>, limit: usize) -> Result<Vec<ChangeRecord>, ProposalError> {
        let mut records = Vec::new();
        let mut last = self.newest().await.map_err(|error| unread("history", &error))?;
        while last > LogPosition(0) && records.len() < limit {
            let entries = self.entries_before(last).await;
            let entries = entries.map_err(|error| unread("history", &error))?;
            records.extend(entries.iter().rev().filter_map(change_record));
            last = previous_batch(last);
        }
        records.truncate(limit);
        Ok(records)
    }

    async fn content(
        self: Arc<Self>,
        version: ConfigVersion,
    ) -> Result<Option<ConfigurationSnapshot>, ProposalError> {
        if version == ConfigVersion(0) {
            return Ok(Some(ConfigurationSnapshot::default()));
        }
        let found = self.find_version(version).await.map_err(|error| unread("content", &error))?;
        let Some(position) = found else { return Ok(None) };
        let state = self.store.load(position).await.map_err(|error| unread("content", &error))?;
        let configuration = state.snapshot.configuration();
        configuration
            .map(Some)
            .map_err(|error| ProposalError::Unknown { step: "content", cause: error.to_string() })
    }

    async fn find_version(&self, version: ConfigVersion) -> Result<Option<LogPosition>, LogError> {
        let newest = self.newest().await?;
        let oldest = LogPosition(newest.0.saturating_sub(HISTORY_BOUND));
        let mut last = newest;
        while last > oldest {
            let entries = self.entries_before(last).await?;
            let makes = |entry: &&LogEntry| {
                change_record(entry).is_some_and(|record| record.version == version)
            };
            if let Some(entry) = entries.iter().find(makes) {
                return Ok(Some(entry.position));
            }
            last = previous_batch(last);
        }
        Ok(None)
    }

    async fn newest(&self) -> Result<LogPosition, LogError> {
        Ok(self.store.read_head(None).await?.head.newest)
    }

    async fn entries_before(&self, last: LogPosition) -> Result<Vec<LogEntry>, LogError> {
        self.store.read_entries(previous_batch(last).next(), last).await
    }
}

fn previous_batch(last: LogPosition) -> LogPosition {
    LogPosition(last.0.saturating_sub(READ_BATCH))
}

fn unread(step: &'static str, error: &LogError) -> ProposalError {
    ProposalError::TableDown { step, cause: error.to_string() }
}

fn change_record(entry: &LogEntry) -> Option<ChangeRecord> {
    let LogBody::Configuration { version, operator, summary, .. } = &entry.body else {
        return None;
    };
    Some(ChangeRecord {
        version: *version,
        change: entry.change,
        operator: operator.clone(),
        summary: summary.clone(),
        accepted_at: entry.accepted_at,
    })
}
