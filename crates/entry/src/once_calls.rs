//! Calls of services that must run at most once, identified by an idempotency key.
//!
//! A call is recorded in the platform's table before its first byte is sent, and its outcome is
//! added afterwards. A second call with the same key, at any host, gets the recorded response or a
//! conflict and is never run.

use std::time::Duration;

use bytes::Bytes;
use dotterellane_platform::{
    CommitOutcome, PlatformTable, RowCondition, RowWrite, TableError, TableRow, TableTransaction,
};
use dotterellane_units::{HostId, RequestId, RowVersion};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use crate::body::EntryBody;
use crate::context::{EntryContext, SharedContext};
use crate::guards::ChargeGuard;
use crate::refusal::{DEFAULT_RETRY_AFTER, EntryRefusal, RefusalKind};
use crate::services::{InstanceOutcome, ServiceCall, ServiceResponse, refund_all, try_instance};

/// Request header with the idempotency key.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Response header that marks a recorded response.
pub const REPLAYED: HeaderName = HeaderName::from_static("idempotent-replayed");

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Largest response body that is recorded, in bytes.
const MAX_RECORDED_BYTES: usize = 64 << 10;

/// Time for which the response to the caller is held back until the outcome is recorded.
const RECORD_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause between two attempts to update a record.
const RECORD_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Largest number of attempts to update a record.
const RECORD_ATTEMPTS: u32 = 120;

/// Owner of calls without a key on services open to everyone; not a valid team id.
const ANONYMOUS_OWNER: &str = "*";

/// Record of a once-only call in the table.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct OnceRecord {
    /// Id of the request that runs the call.
    pub request: u128,
    /// Host that runs the call.
    pub host: HostId,
    /// Digest of method, path and body, which tells a repeated call from another one.
    pub digest: String,
    /// Progress of the call.
    pub stage: OnceStage,
}

/// Progress of a once-only call.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum OnceStage {
    /// The call may be running, or its host crashed.
    Started,
    /// The call ran and was answered with this response.
    Answered {
        /// HTTP status.
        status: u16,
        /// Headers that are forwarded to callers.
        headers: Vec<(String, Vec<u8>)>,
        /// Complete body.
        body: Vec<u8>,
    },
    /// The call ran; its response was too large to record.
    AnswerNotKept,
    /// The call may have run; its response was lost.
    AnswerLost,
}

/// Row key and content of a call's record.
struct OnceClaim {
    row: String,
    record: OnceRecord,
}

/// Runs a once-only call, or returns the response to the first call with the same idempotency key.
///
/// # Errors
/// Refuses calls without an idempotency key, calls whose record cannot be written, and repeated
/// calls for which no response is recorded. Fails as the call itself does if it gets no response.
pub async fn run_once(
    context: SharedContext,
    call: ServiceCall,
    headers: &HeaderMap,
    mut charge: Option<ChargeGuard>,
) -> Result<Response<EntryBody>, EntryRefusal> {
    let prepared = prepare_claim(&context, call, headers);
    let (mut call, claim) = prepared.inspect_err(|_| refund_all(&mut charge))?;
    let claimed = insert_claim(&context, &call, &claim).await;
    let version = match claimed {
        Ok(ClaimOutcome::Claimed(version)) => version,
        Ok(ClaimOutcome::Held(record)) => {
            refund_all(&mut charge);
            return answer_duplicate(&claim.record, record);
        }
        Err(refusal) => {
            refund_all(&mut charge);
            return Err(refusal);
        }
    };
    if let Ok(name) = HeaderValue::from_str(claim.row.rsplit('/').next().unwrap_or_default()) {
        call.headers.insert(IDEMPOTENCY_KEY, name);
    }
    // Runs as a task, so that the outcome is recorded even if the caller disconnects.
    let running = context.clone();
    let task = context
        .tasks
        .spawn(async move { run_claimed(&running, &call, claim, version, charge).await });
    task.await.unwrap_or_else(|_| {
        let message = "the call ended without an outcome; it may have run";
        Err(EntryRefusal::before_sending(RefusalKind::UpstreamFailed, message).with_reached(true))
    })
}

fn prepare_claim(
    context: &EntryContext,
    call: ServiceCall,
    headers: &HeaderMap,
) -> Result<(ServiceCall, OnceClaim), EntryRefusal> {
    let refuse = |message: &str| EntryRefusal::before_sending(RefusalKind::Malformed, message);
    let key = headers.get(IDEMPOTENCY_KEY).map(HeaderValue::as_bytes);
    let key = key.filter(|key| !key.is_empty() && key.len() <= MAX_KEY_BYTES);
    let key = key.ok_or_else(|| {
        refuse("a once-only call needs an Idempotency-Key header of 1 to 255 bytes")
    })?;
    let owner = call.identity.as_ref().map_or(ANONYMOUS_OWNER, |identity| identity.team.as_str());
    let row = record_key(owner, call.service.as_str(), key);
    let record = OnceRecord {
        request: call.request.0,
        host: context.host.clone(),
        digest: call_digest(&call),
        stage: OnceStage::Started,
    };
    Ok((call, OnceClaim { row, record }))
}

fn record_key(owner: &str, service: &str, key: &[u8]) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in [owner.as_bytes(), service.as_bytes(), key] {
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part);
    }
    format!("once/{}", hasher.finalize().to_hex())
}

fn call_digest(call: &ServiceCall) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in [call.method.as_str().as_bytes(), call.target.as_bytes(), &call.body] {
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().to_hex().to_string()
}

enum ClaimOutcome {
    /// The record of this call was written, with this version of its row.
    Claimed(RowVersion),
    /// Another call has used the idempotency key before.
    Held(OnceRecord),
}

/// Writes the record of a call unless one with the same idempotency key exists.
async fn insert_claim(
    context: &SharedContext,
    call: &ServiceCall,
    claim: &OnceClaim,
) -> Result<ClaimOutcome, EntryRefusal> {
    let committing =
        context.table.commit(write_record(claim, RowVersion::ABSENT, Some(&claim.record)));
    let committed = match timeout(context.time_left(call.deadline), committing).await {
        Ok(Err(TableError::Unavailable { .. })) => return Err(table_unavailable()),
        Ok(committed) => committed.ok(),
        Err(_) => None,
    };
    match committed {
        Some(CommitOutcome::Committed(versions)) => {
            let version = versions.first().copied().ok_or_else(table_unavailable)?;
            Ok(ClaimOutcome::Claimed(version))
        }
        Some(CommitOutcome::Conflict(rows)) => {
            rows.first().and_then(read_record).map(ClaimOutcome::Held).ok_or_else(table_unavailable)
        }
        // The outcome of the commit is unknown; the current row shows whether it took effect.
        None => match find_record(&context.table, &claim.row).await {
            Ok(Some((version, record))) if record.request == claim.record.request => {
                Ok(ClaimOutcome::Claimed(version))
            }
            Ok(Some((_, record))) => Ok(ClaimOutcome::Held(record)),
            Ok(None) | Err(_) => {
                remove_claim_later(context, claim);
                Err(table_unavailable())
            }
        },
    }
}

fn write_record(
    claim: &OnceClaim,
    version: RowVersion,
    record: Option<&OnceRecord>,
) -> TableTransaction {
    let value = record.map(|record| postcard::to_stdvec(record).unwrap_or_default());
    TableTransaction {
        conditions: vec![RowCondition { key: claim.row.clone(), version }],
        writes: vec![RowWrite { key: claim.row.clone(), value }],
    }
}

fn read_record(row: &TableRow) -> Option<OnceRecord> {
    postcard::from_bytes(&row.value).ok()
}

async fn find_record(
    table: &PlatformTable,
    row: &str,
) -> Result<Option<(RowVersion, OnceRecord)>, TableError> {
    let rows = table.read(vec![row.to_owned()]).await?;
    Ok(rows.first().and_then(|row| Some((row.version, read_record(row)?))))
}

fn table_unavailable() -> EntryRefusal {
    let message = "the call cannot be recorded now, so it was not sent";
    EntryRefusal::before_sending(RefusalKind::Unavailable, message)
        .with_retry_after(DEFAULT_RETRY_AFTER)
}

/// Removes, in the background, a record that may have been written but whose call was not sent.
fn remove_claim_later(context: &SharedContext, claim: &OnceClaim) {
    let (context, row, request) =
        (context.clone(), claim.row.clone(), RequestId(claim.record.request));
    let tasks = context.tasks.clone();
    tasks.spawn(async move {
        for _ in 0..RECORD_ATTEMPTS {
            sleep(RECORD_RETRY_INTERVAL).await;
            // If the row does not exist by now, the commit sent earlier will not take effect.
            if remove_claim(&context.table, &row, request).await.is_ok() {
                return;
            }
        }
    });
}

async fn remove_claim(
    table: &PlatformTable,
    row: &str,
    request: RequestId,
) -> Result<(), TableError> {
    let Some((version, record)) = find_record(table, row).await? else { return Ok(()) };
    if record.request != request.0 {
        return Ok(());
    }
    let transaction = TableTransaction {
        conditions: vec![RowCondition { key: row.to_owned(), version }],
        writes: vec![RowWrite { key: row.to_owned(), value: None }],
    };
    table.commit(transaction).await.map(|_| ())
}

/// Answers a call whose idempotency key was used before, from the record of the `first` call.
fn answer_duplicate(
    own: &OnceRecord,
    first: OnceRecord,
) -> Result<Response<EntryBody>, EntryRefusal> {
    if own.digest != first.digest {
        let message = "the Idempotency-Key was used for another call";
        return Err(EntryRefusal::before_sending(RefusalKind::Unprocessable, message));
    }
    let conflict = |message: &str| {
        // To the caller both are the same call, and the first one may have run.
        EntryRefusal::before_sending(RefusalKind::Conflict, message).with_reached(true)
    };
    match first.stage {
        OnceStage::Answered { status, headers, body } => Ok(replay(status, headers, body)),
        OnceStage::Started => {
            let message = "the first call with this Idempotency-Key has no outcome yet";
            Err(conflict(message).with_retry_after(DEFAULT_RETRY_AFTER))
        }
        OnceStage::AnswerNotKept => {
            Err(conflict("the call ran; its response was too large to be recorded"))
        }
        OnceStage::AnswerLost => {
            Err(conflict("the call may have run; its response was lost, and it is not run again"))
        }
    }
}

fn replay(status: u16, headers: Vec<(String, Vec<u8>)>, body: Vec<u8>) -> Response<EntryBody> {
    let pairs = headers.into_iter().filter_map(|(name, value)| {
        let name = HeaderName::try_from(name).ok()?;
        Some((name, HeaderValue::from_bytes(&value).ok()?))
    });
    let mut headers: HeaderMap = pairs.collect();
    headers.insert(REPLAYED, HeaderValue::from_static("true"));
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    ServiceResponse { status, headers, body: Bytes::from(body) }.into_response()
}

/// Sends the call to one instance after another until one may have run it, and records the outcome.
async fn run_claimed(
    context: &SharedContext,
    call: &ServiceCall,
    claim: OnceClaim,
    version: RowVersion,
    mut charge: Option<ChargeGuard>,
) -> Result<Response<EntryBody>, EntryRefusal> {
    let mut refusal = table_unavailable();
    for address in &call.addresses {
        if context.time_left(call.deadline).is_zero() {
            break;
        }
        match try_instance(context, call, *address, true).await {
            InstanceOutcome::Answered(response) => {
                record_outcome(context, claim, version, answered_stage(&response)).await;
                return Ok(response.into_response());
            }
            InstanceOutcome::Unknown(refusal) => {
                record_outcome(context, claim, version, OnceStage::AnswerLost).await;
                return Err(refusal);
            }
            // This instance certainly did not run the call, so another one may be tried.
            InstanceOutcome::NotRun(failure) => refusal = failure,
        }
    }
    refund_all(&mut charge);
    if remove_claim(&context.table, &claim.row, call.request).await.is_err() {
        remove_claim_later(context, &claim);
    }
    Err(refusal)
}

fn answered_stage(response: &ServiceResponse) -> OnceStage {
    if response.body.len() > MAX_RECORDED_BYTES {
        return OnceStage::AnswerNotKept;
    }
    let pairs = response.headers.iter();
    OnceStage::Answered {
        status: response.status.as_u16(),
        headers: pairs.map(|(name, value)| (name.to_string(), value.as_bytes().to_vec())).collect(),
        body: response.body.to_vec(),
    }
}

/// Records the outcome, retrying in the background after [`RECORD_TIMEOUT`].
async fn record_outcome(
    context: &SharedContext,
    mut claim: OnceClaim,
    version: RowVersion,
    stage: OnceStage,
) {
    claim.record.stage = stage;
    let table = context.table.clone();
    let writing = context.tasks.spawn(async move {
        for _ in 0..RECORD_ATTEMPTS {
            let transaction = write_record(&claim, version, Some(&claim.record));
            // A conflict counts as success: only this call writes the row, so an earlier attempt
            // took effect.
            if table.commit(transaction).await.is_ok() {
                return;
            }
            sleep(RECORD_RETRY_INTERVAL).await;
        }
    });
    let _ = timeout(RECORD_TIMEOUT, writing).await;
}
