//! Parsing of requests to models.

use bytes::Bytes;
use dotterellane_decisions::quarantine::RequestFingerprint;
use dotterellane_settings::document::{CallerScope, ConfigurationDocument, ModelEntry};
use dotterellane_units::{AdapterId, ClockInstant, KeyId, ModelId, RequestId, TeamId, TokenCount};
use serde_json::{Map, Value, json};

use crate::keys::CallerIdentity;
use crate::refusal::{EntryRefusal, RefusalKind};

/// Bytes of prompt text that are charged as one token until the response reports the real usage.
const BYTES_PER_TOKEN: u64 = 4;

/// Tokens charged per message for its role and delimiters.
const TOKENS_PER_MESSAGE: u64 = 4;

/// Bytes of prompt text per prefix hash.
const PREFIX_BLOCK_BYTES: usize = 256;

/// Largest number of prefix hashes per request.
const MAX_PREFIX_BLOCKS: usize = 32;

/// Largest number of choices that one request may ask for.
const MAX_CHOICES: u64 = 8;

/// Endpoint for requests to models.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CompletionKind {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Text,
    /// `/v1/embeddings`
    Embedding,
}

impl CompletionKind {
    /// Returns the path of the endpoint, which is the same here and on runners.
    pub fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
            Self::Embedding => "/v1/embeddings",
        }
    }

    fn prompt_field(self) -> &'static str {
        match self {
            Self::Chat => "messages",
            Self::Text => "prompt",
            Self::Embedding => "input",
        }
    }
}

/// Request to a model, validated against the configuration.
#[derive(Clone, Debug)]
pub struct CompletionCall {
    /// Id of the request within the fleet.
    pub request: RequestId,
    /// Key that authenticated the caller.
    pub key: KeyId,
    /// Team that is charged.
    pub team: TeamId,
    /// Endpoint that was called.
    pub kind: CompletionKind,
    /// Model that serves the request.
    pub model: ModelId,
    /// Adapter of that model, `None` for the base model.
    pub adapter: Option<AdapterId>,
    /// Whether the response is a stream of events.
    pub streamed: bool,
    /// Body that is sent to the runner.
    pub body: Bytes,
    /// Estimated number of prompt tokens.
    pub prompt: TokenCount,
    /// Largest number of output tokens, over all choices.
    pub output: TokenCount,
    /// Hashes of the prompt's leading blocks, shortest prefix first.
    pub prefix: Vec<u64>,
    /// Digest of path and body, the same on every host.
    pub fingerprint: RequestFingerprint,
    /// Time by which the request must be answered.
    pub deadline: ClockInstant,
}

impl CompletionCall {
    /// Returns the number of tokens charged at admission: estimated prompt plus largest output.
    pub fn charged(&self) -> TokenCount {
        self.prompt + self.output
    }
}

/// Model or adapter that the `model` field of a request names.
#[derive(Clone, Debug)]
pub struct ModelTarget<'a> {
    /// Model, or model of the adapter.
    pub model: ModelId,
    /// Adapter, `None` if a model is named.
    pub adapter: Option<AdapterId>,
    /// Configuration of the model.
    pub entry: &'a ModelEntry,
}

/// Finds the model or adapter called `name` that `team` may call.
///
/// # Errors
/// Refuses a name that does not exist, or whose configuration does not allow the team.
pub fn find_target<'a>(
    name: &str,
    team: &TeamId,
    document: &'a ConfigurationDocument,
) -> Result<ModelTarget<'a>, EntryRefusal> {
    let missing = || {
        let message = format!("the model {name:?} does not exist");
        EntryRefusal::before_sending(RefusalKind::NotFound, message)
    };
    let check_scope = |scope: &CallerScope| {
        // Only plain services may be open to everyone; calls of models are charged to a team.
        if scope.allows(team) && *scope != CallerScope::Open {
            return Ok(());
        }
        let message = format!("team {team} may not call {name}");
        Err(EntryRefusal::before_sending(RefusalKind::Forbidden, message))
    };
    if let Some((model, entry)) =
        name.parse().ok().and_then(|id| document.models.get_key_value::<ModelId>(&id))
    {
        check_scope(&entry.callers)?;
        return Ok(ModelTarget { model: model.clone(), adapter: None, entry });
    }
    let found = name.parse().ok().and_then(|id| document.adapters.get_key_value::<AdapterId>(&id));
    let (adapter, adapter_entry) = found.ok_or_else(missing)?;
    check_scope(&adapter_entry.callers)?;
    let entry = document.models.get(&adapter_entry.model).ok_or_else(missing)?;
    Ok(ModelTarget { model: adapter_entry.model.clone(), adapter: Some(adapter.clone()), entry })
}

/// Parses a request to a model.
///
/// # Errors
/// Refuses a body that is malformed, names a model that the team may not call, or asks for more
/// output tokens or choices than allowed.
pub fn parse_completion(
    kind: CompletionKind,
    request: RequestId,
    identity: CallerIdentity,
    content: &[u8],
    document: &ConfigurationDocument,
    now: ClockInstant,
) -> Result<CompletionCall, EntryRefusal> {
    let mut fields = parse_object(content)?;
    let name = fields.get("model").and_then(Value::as_str);
    let name = name.ok_or_else(|| malformed("\"model\" must be a string"))?;
    let target = find_target(name, &identity.team, document)?;
    let streamed = kind != CompletionKind::Embedding && read_flag(&fields, "stream")?;
    let prompt_text = prompt_text(kind, &fields)?;
    let output = limit_output(kind, &mut fields, target.entry)?;
    // The priority at the engine is set by the dispatcher, not by the caller.
    fields.remove("priority");
    if streamed {
        request_usage(&mut fields)?;
    }
    let body = serde_json::to_vec(&fields).map_err(|error| malformed(&error.to_string()))?;
    let fingerprint = crate::crashes::fingerprint(kind.path(), &body);
    Ok(CompletionCall {
        request,
        key: identity.key,
        team: identity.team,
        kind,
        model: target.model,
        adapter: target.adapter,
        streamed,
        body: body.into(),
        prompt: prompt_text.tokens(),
        output,
        prefix: prompt_text.prefix(),
        fingerprint,
        deadline: now + target.entry.deadline_seconds,
    })
}

fn parse_object(content: &[u8]) -> Result<Map<String, Value>, EntryRefusal> {
    match serde_json::from_slice(content) {
        Ok(Value::Object(fields)) => Ok(fields),
        Ok(_) => Err(malformed("the body must be a JSON object")),
        Err(error) => Err(malformed(&format!("the body is not JSON: {error}"))),
    }
}

fn malformed(message: &str) -> EntryRefusal {
    EntryRefusal::before_sending(RefusalKind::Malformed, message)
}

fn read_flag(fields: &Map<String, Value>, name: &str) -> Result<bool, EntryRefusal> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(malformed(&format!("{name:?} must be true or false"))),
    }
}

fn read_number(fields: &Map<String, Value>, name: &str) -> Result<Option<u64>, EntryRefusal> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => match value.as_u64() {
            Some(number) if number > 0 => Ok(Some(number)),
            _ => Err(malformed(&format!("{name:?} must be a positive integer"))),
        },
    }
}

/// Sets `max_tokens` in the body to the limit that applies and returns the sum over all choices.
fn limit_output(
    kind: CompletionKind,
    fields: &mut Map<String, Value>,
    entry: &ModelEntry,
) -> Result<TokenCount, EntryRefusal> {
    if kind == CompletionKind::Embedding {
        return Ok(TokenCount(0));
    }
    let named = read_number(fields, "max_completion_tokens")?;
    let asked = named.or(read_number(fields, "max_tokens")?);
    let each = asked.unwrap_or(entry.max_output.0);
    if each > entry.max_output.0 {
        let message = format!("at most {} output tokens can be asked for", entry.max_output);
        return Err(EntryRefusal::before_sending(RefusalKind::Unprocessable, message));
    }
    let choices =
        read_number(fields, "n")?.unwrap_or(1).max(read_number(fields, "best_of")?.unwrap_or(1));
    if choices > MAX_CHOICES {
        let message = format!("at most {MAX_CHOICES} choices can be asked for");
        return Err(EntryRefusal::before_sending(RefusalKind::Unprocessable, message));
    }
    fields.remove("max_completion_tokens");
    fields.insert("max_tokens".to_owned(), json!(each));
    Ok(TokenCount(each * choices))
}

fn request_usage(fields: &mut Map<String, Value>) -> Result<(), EntryRefusal> {
    let options = fields.entry("stream_options").or_insert_with(|| json!({}));
    if options.is_null() {
        *options = json!({});
    }
    let options =
        options.as_object_mut().ok_or_else(|| malformed("\"stream_options\" must be an object"))?;
    options.insert("include_usage".to_owned(), json!(true));
    Ok(())
}

struct PromptText {
    text: String,
    messages: u64,
}

impl PromptText {
    fn tokens(&self) -> TokenCount {
        let bytes = u64::try_from(self.text.len()).unwrap_or(u64::MAX);
        TokenCount(bytes.div_ceil(BYTES_PER_TOKEN) + self.messages * TOKENS_PER_MESSAGE)
    }

    /// Hashes each prefix of the text that consists of complete blocks, shortest first.
    fn prefix(&self) -> Vec<u64> {
        let mut hasher = blake3::Hasher::new();
        let blocks = self.text.as_bytes().chunks_exact(PREFIX_BLOCK_BYTES).take(MAX_PREFIX_BLOCKS);
        let hash_block = |block: &[u8]| {
            hasher.update(block);
            let mut start = [0; 8];
            start.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
            u64::from_le_bytes(start)
        };
        blocks.map(hash_block).collect()
    }
}

fn prompt_text(
    kind: CompletionKind,
    fields: &Map<String, Value>,
) -> Result<PromptText, EntryRefusal> {
    let field = kind.prompt_field();
    let value = fields.get(field).ok_or_else(|| malformed(&format!("{field:?} is missing")))?;
    let expected = match kind {
        CompletionKind::Chat => value.is_array(),
        CompletionKind::Text | CompletionKind::Embedding => value.is_string() || value.is_array(),
    };
    if !expected {
        return Err(malformed(&format!("{field:?} has the wrong type")));
    }
    let mut text = String::new();
    collect_text(value, &mut text);
    let messages =
        value.as_array().map_or(1, |items| u64::try_from(items.len()).unwrap_or(u64::MAX));
    Ok(PromptText { text, messages })
}

/// Appends all text within `value`.
///
/// Numbers are token ids of tokenised prompts and are padded to [`BYTES_PER_TOKEN`] bytes, so that
/// each counts as about one token.
fn collect_text(value: &Value, text: &mut String) {
    match value {
        Value::String(part) => text.push_str(part),
        Value::Array(items) => items.iter().for_each(|item| collect_text(item, text)),
        Value::Object(fields) => fields.values().for_each(|field| collect_text(field, text)),
        Value::Number(number) => text.push_str(&format!("{number:>4}")),
        Value::Null | Value::Bool(_) => (),
    }
}
