//! Once-only calls: recorded in the platform's table before their first byte is sent.

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
use crate::holds::ChargeHold;
use crate::refusal::{DEFAULT_RETRY_AFTER, EntryRefusal, RefusalKind};
use crate::services::{InstanceOutcome, ServiceAnswer, ServiceCall, refund_all, try_instance};

/// Header that names a once-only call.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Header on an answer that was given before.
pub const REPLAYED: HeaderName = HeaderName::from_static("idempotent-replayed");

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Largest answer that is kept for a second call, in bytes.
const MAX_KEPT_BYTES: usize = 64 << 10;

/// Longest time for which a caller waits until its outcome is recorded.
const RECORD_WAIT: Duration = Duration::from_secs(1);

/// Pause before the table is asked again to keep an outcome.
const RECORD_PAUSE: Duration = Duration::from_millis(500);

/// Times that the table is asked to keep an outcome.
const RECORD_ATTEMPTS: u32 = 120;

/// Owner of once-only calls on routes open to all; not a valid team id.
const OPEN_CALLERS: &str = "*";

/// What the table keeps of a once-only call.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct OnceRecord {
    /// Request that holds the idempotency key.
    pub request: u128,
    /// Host that runs it.
    pub host: HostId,
    /// Digest of method, path and body.
    pub digest: String,
    /// What is known of it.
    pub stage: OnceStage,
}

/// What is known of a once-only call.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum OnceStage {
    /// It may be running, or its host died.
    Started,
    /// It ran, and this was its answer.
    Answered {
        /// Status.
        status: u16,
        /// Headers that the caller may see.
        headers: Vec<(String, Vec<u8>)>,
        /// Body.
        body: Vec<u8>,
    },
    /// It ran; its answer was too large to keep.
    AnswerNotKept,
    /// It may have run; its answer was lost.
    AnswerLost,
}

/// The key and content of the record of one call.
struct OnceClaim {
    row: String,
    record: OnceRecord,
}

/// Runs a once-only call, or gives the outcome of the first one with the same idempotency key.
///
/// # Errors
/// Refuses calls without an idempotency key, calls whose record cannot be written, and second calls
/// whose first one has no known outcome.
pub async fn run_once(
    context: SharedContext,
    call: ServiceCall,
    headers: &HeaderMap,
    mut charge: Option<ChargeHold>,
) -> Result<Response<EntryBody>, EntryRefusal> {
    let prepared = prepare_claim(&context, call, headers);
    let (mut call, claim) = prepared.inspect_err(|_| refund_all(&mut charge))?;
    let claimed = insert_claim(&context, &call, &claim).await;
    let version = match claimed {
        Ok(ClaimOutcome::Claimed(version)) => version,
        Ok(ClaimOutcome::Held(record)) => {
            refund_all(&mut charge);
            return second_answer(&claim.record, record);
        }
        Err(refusal) => {
            refund_all(&mut charge);
            return Err(refusal);
        }
    };
    if let Ok(name) = HeaderValue::from_str(claim.row.rsplit('/').next().unwrap_or_default()) {
        call.headers.insert(IDEMPOTENCY_KEY, name);
    }
    // The call goes on when its caller leaves, so that its outcome is known.
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
    let owner = call.identity.as_ref().map_or(OPEN_CALLERS, |identity| identity.team.as_str());
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
    /// This call holds the key.
    Claimed(RowVersion),
    /// Another call holds it.
    Held(OnceRecord),
}

/// Writes the record if there is none.
async fn insert_claim(
    context: &SharedContext,
    call: &ServiceCall,
    claim: &OnceClaim,
) -> Result<ClaimOutcome, EntryRefusal> {
    let committing = context.table.commit(write_record(claim, RowVersion(0), Some(&claim.record)));
    let committed = match timeout(context.time_left(call.deadline), committing).await {
        Ok(Err(TableError::Unavailable { .. })) => return Err(table_down()),
        Ok(committed) => committed.ok(),
        Err(_) => None,
    };
    match committed {
        Some(CommitOutcome::Committed(versions)) => {
            let version = versions.first().copied().ok_or_else(table_down)?;
            Ok(ClaimOutcome::Claimed(version))
        }
        Some(CommitOutcome::Conflict(rows)) => {
            rows.first().and_then(read_record).map(ClaimOutcome::Held).ok_or_else(table_down)
        }
        // The answer was lost: what the table holds now tells whether the record is ours.
        None => match find_record(&context.table, &claim.row).await {
            Ok(Some((version, record))) if record.request == claim.record.request => {
                Ok(ClaimOutcome::Claimed(version))
            }
            Ok(Some((_, record))) => Ok(ClaimOutcome::Held(record)),
            Ok(None) | Err(_) => {
                withdraw_later(context, claim);
                Err(table_down())
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

fn table_down() -> EntryRefusal {
    let message = "the call cannot be recorded now, so it was not sent";
    EntryRefusal::before_sending(RefusalKind::Unavailable, message)
        .with_retry_after(DEFAULT_RETRY_AFTER)
}

/// Removes a record that may have been written, but whose call was never sent.
fn withdraw_later(context: &SharedContext, claim: &OnceClaim) {
    let (context, row, request) =
        (context.clone(), claim.row.clone(), RequestId(claim.record.request));
    let tasks = context.tasks.clone();
    tasks.spawn(async move {
        for _ in 0..RECORD_ATTEMPTS {
            sleep(RECORD_PAUSE).await;
            // Absent now means absent for good: the insert was sent long before.
            if withdraw(&context.table, &row, request).await.is_ok() {
                return;
            }
        }
    });
}

async fn withdraw(table: &PlatformTable, row: &str, request: RequestId) -> Result<(), TableError> {
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

/// Answers a call whose idempotency key another one holds; it is never run.
fn second_answer(own: &OnceRecord, first: OnceRecord) -> Result<Response<EntryBody>, EntryRefusal> {
    if own.digest != first.digest {
        let message = "the Idempotency-Key was used for another call";
        return Err(EntryRefusal::before_sending(RefusalKind::Unprocessable, message));
    }
    let conflict = |message: &str| {
        // The first call may have run, and this one stands for it.
        EntryRefusal::before_sending(RefusalKind::Conflict, message).with_reached(true)
    };
    match first.stage {
        OnceStage::Answered { status, headers, body } => Ok(replay(status, headers, body)),
        OnceStage::Started => {
            let message = "the first call with this Idempotency-Key has no outcome yet";
            Err(conflict(message).with_retry_after(DEFAULT_RETRY_AFTER))
        }
        OnceStage::AnswerNotKept => {
            Err(conflict("the call ran; its answer was too large to be kept"))
        }
        OnceStage::AnswerLost => {
            Err(conflict("the call may have run; its answer was lost, and it is not run again"))
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
    ServiceAnswer { status, headers, body: Bytes::from(body) }.into_response()
}

/// Sends the call at most to one instance that may run it, and keeps its outcome.
async fn run_claimed(
    context: &SharedContext,
    call: &ServiceCall,
    claim: OnceClaim,
    version: RowVersion,
    mut charge: Option<ChargeHold>,
) -> Result<Response<EntryBody>, EntryRefusal> {
    let mut refusal = table_down();
    for address in &call.addresses {
        if context.time_left(call.deadline).is_zero() {
            break;
        }
        match try_instance(context, call, *address, true).await {
            InstanceOutcome::Answered(answer) => {
                keep_outcome(context, claim, version, stage_of(&answer)).await;
                return Ok(answer.into_response());
            }
            InstanceOutcome::Unknown(refusal) => {
                keep_outcome(context, claim, version, OnceStage::AnswerLost).await;
                return Err(refusal);
            }
            // Nothing was run, so the next instance may be tried.
            InstanceOutcome::NotRun(failure) => refusal = failure,
        }
    }
    refund_all(&mut charge);
    if withdraw(&context.table, &claim.row, call.request).await.is_err() {
        withdraw_later(context, &claim);
    }
    Err(refusal)
}

fn stage_of(answer: &ServiceAnswer) -> OnceStage {
    if answer.body.len() > MAX_KEPT_BYTES {
        return OnceStage::AnswerNotKept;
    }
    let pairs = answer.headers.iter();
    OnceStage::Answered {
        status: answer.status.as_u16(),
        headers: pairs.map(|(name, value)| (name.to_string(), value.as_bytes().to_vec())).collect(),
        body: answer.body.to_vec(),
    }
}

/// Writes the outcome; the caller waits for a moment, the writing goes on until it succeeds.
async fn keep_outcome(
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
            // A conflict means that an earlier attempt took effect: nobody else writes this row.
            if table.commit(transaction).await.is_ok() {
                return;
            }
            sleep(RECORD_PAUSE).await;
        }
    });
    let _ = timeout(RECORD_WAIT, writing).await;
}
