//! Implements [`AdministrationPorts`] on the log of changes: proposals, their progress, history and
//! earlier documents.

use std::sync::Arc;

use dotterellane_platform::TableTransaction;
use dotterellane_protocol::{LogBody, LogEntry, LogPosition};
use dotterellane_units::ConfigVersion;

use crate::control::{AppendError, FleetControl};
use crate::document_edits::diff_documents;
use crate::log_state::LogSnapshot;
use crate::log_store::{LogError, READ_BATCH};
use crate::{
    AdministrationPorts, ChangeProgress, ChangeRecord, ConfigurationSnapshot, ProposalError,
    ProposedChange,
};

/// Number of newest log entries that are searched for an earlier version.
const MAX_SEARCHED_ENTRIES: u64 = 8_192;

impl FleetControl {
    /// Returns the ports of the operators' API.
    pub(crate) fn administration(self: &Arc<Self>) -> AdministrationPorts {
        let (proposer, progress) = (self.clone(), self.clone());
        let (history_reader, content_reader) = (self.clone(), self.clone());
        AdministrationPorts::new(
            self.configuration.clone(),
            move |change| proposer.clone().propose(change),
            move |version| progress.progress(version),
            move |limit| history_reader.clone().history(limit),
            move |version| content_reader.clone().content(version),
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
            let current = &snapshot.configuration;
            if current.version != change.expected {
                return Err(());
            }
            let old = serde_json::to_value(&current.document).unwrap_or_default();
            let body = LogBody::Configuration {
                version: current.version.next(),
                operator: change.operator.clone(),
                summary: change.summary.clone(),
                edits: diff_documents(&old, &document),
            };
            Ok((body, TableTransaction::default()))
        });
        match appended.await {
            Ok(entry) => change_record(&entry).ok_or(ProposalError::Unknown {
                step: "propose",
                cause: "the change id belongs to a log entry of another kind".to_owned(),
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
        // No confirmation received so far covers a version that this daemon does not know.
        let position = position.unwrap_or(LogPosition(u64::MAX));
        let outstanding = match in_force {
            true => Vec::new(),
            false => machine.outstanding(position).into_iter().map(|member| member.host).collect(),
        };
        ChangeProgress { version, in_force, outstanding }
    }

    async fn history(self: Arc<Self>, limit: usize) -> Result<Vec<ChangeRecord>, ProposalError> {
        let mut records = Vec::new();
        let mut last = self.newest().await.map_err(|error| table_down("history", &error))?;
        while last > LogPosition(0) && records.len() < limit {
            let entries = self.entries_before(last).await;
            let entries = entries.map_err(|error| table_down("history", &error))?;
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
        let found =
            self.find_version(version).await.map_err(|error| table_down("content", &error))?;
        let Some(position) = found else { return Ok(None) };
        let state =
            self.store.load(position).await.map_err(|error| table_down("content", &error))?;
        Ok(Some((*state.snapshot.configuration).clone()))
    }

    async fn find_version(&self, version: ConfigVersion) -> Result<Option<LogPosition>, LogError> {
        let newest = self.newest().await?;
        let oldest = LogPosition(newest.0.saturating_sub(MAX_SEARCHED_ENTRIES));
        let mut last = newest;
        while last > oldest {
            let entries = self.entries_before(last).await?;
            let created_version = |entry: &&LogEntry| {
                change_record(entry).is_some_and(|record| record.version == version)
            };
            if let Some(entry) = entries.iter().find(created_version) {
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

fn table_down(step: &'static str, error: &LogError) -> ProposalError {
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
