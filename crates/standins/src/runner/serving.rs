//! The OpenAI-like interface of a stand-in runner.
//!
//! The output is a deterministic function of model and prompt, so that tests can compare a
//! resumed stream with an uninterrupted one.

use bytes::Bytes;
use futures::stream::{self, StreamExt};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::http_server::{ResponseBody, json_response};
use crate::runner::StandinRunner;

/// Words of generated text; each is one token.
const WORDS: [&str; 8] = ["bus ", "line ", "seat ", "stop ", "crew ", "road ", "shift ", "gate "];
/// Tokens generated for a request without `max_tokens`.
const DEFAULT_OUTPUT_TOKENS: u64 = 16;
/// Number of values in an embedding.
const EMBEDDING_SIZE: usize = 8;

/// Header with the id of the request; echoed in the response.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header of a resumed stream with the number of tokens that the caller has already.
pub const RESUME_HEADER: &str = "x-resume-from";
/// Response header which states that a rejected request did not run.
pub const NOT_RUN_HEADER: &str = "x-not-run";

#[derive(Debug)]
#[derive(Deserialize)]
struct GenerationBody {
    model: String,
    #[serde(default)]
    messages: Value,
    #[serde(default)]
    prompt: Value,
    #[serde(default)]
    input: Value,
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

impl GenerationBody {
    fn prompt_text(&self) -> String {
        [&self.messages, &self.prompt, &self.input]
            .into_iter()
            .filter(|part| !part.is_null())
            .map(Value::to_string)
            .collect()
    }
}

/// Output of one generation, from which responses and events are built.
struct GeneratedText {
    id: String,
    model: String,
    prompt_tokens: u64,
    words: Vec<&'static str>,
    chat: bool,
}

/// Returns the first `count` words that `model` generates for `prompt`, one word per token.
pub fn generated_words(model: &str, prompt: &str, count: u64) -> Vec<&'static str> {
    // FNV-1a; any deterministic hash would do.
    let seed = model.bytes().chain(prompt.bytes()).fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    (0..count)
        .map(|index| {
            let mixed = seed.wrapping_add(index).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            WORDS[usize::try_from(mixed >> 61).unwrap_or(0)]
        })
        .collect()
}

impl StandinRunner {
    pub(crate) async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let headers = request.headers().clone();
        let path = request.uri().path().to_owned();
        if request.method() != Method::POST {
            return json_response(StatusCode::METHOD_NOT_ALLOWED, &json!({"error": "POST only"}));
        }
        let Ok(body) = request.into_body().collect().await else {
            return json_response(
                StatusCode::BAD_REQUEST,
                &json!({"error": "request body was cut off"}),
            );
        };
        let Ok(body) = serde_json::from_slice::<GenerationBody>(&body.to_bytes()) else {
            return json_response(
                StatusCode::BAD_REQUEST,
                &json!({"error": "request body is not valid"}),
            );
        };
        self.record_headers(&headers);
        let mut response = self.run_generation(&path, &headers, &body).await;
        if let Some(id) = headers.get(REQUEST_ID_HEADER) {
            response.headers_mut().insert(REQUEST_ID_HEADER, id.clone());
        }
        response
    }

    async fn run_generation(
        &self,
        path: &str,
        headers: &HeaderMap,
        body: &GenerationBody,
    ) -> Response<ResponseBody> {
        if !self.try_count_run(&body.model) {
            return not_loaded(&body.model);
        }
        tokio::time::sleep(self.options.first_token).await;
        let chat = match path {
            "/v1/chat/completions" => true,
            "/v1/completions" => false,
            "/v1/embeddings" => return embedding_response(body),
            _ => return json_response(StatusCode::NOT_FOUND, &json!({"error": "no such path"})),
        };
        let text = generate(body, headers, chat);
        if body.stream {
            return self.streamed_response(text, resume_offset(headers));
        }
        let gaps = u32::try_from(text.words.len().saturating_sub(1)).unwrap_or(u32::MAX);
        tokio::time::sleep(self.options.token_gap * gaps).await;
        json_response(StatusCode::OK, &text.to_json())
    }

    fn streamed_response(&self, text: GeneratedText, resume_from: usize) -> Response<ResponseBody> {
        let gap = self.options.token_gap;
        let last = std::iter::once((0, text.usage_event() + "data: [DONE]\n\n"));
        let events: Vec<(u32, String)> = text
            .words
            .iter()
            .enumerate()
            .skip(resume_from)
            .map(|(index, word)| (u32::from(index > resume_from), text.word_event(index, word)))
            .chain(last)
            .collect();
        let frames = stream::iter(events).then(move |(gaps, event)| async move {
            if gaps > 0 {
                tokio::time::sleep(gap * gaps).await;
            }
            Ok(Frame::data(Bytes::from(event)))
        });
        let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
        let content_type = http::HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(http::header::CONTENT_TYPE, content_type);
        response
    }

    fn try_count_run(&self, model: &str) -> bool {
        let mut state = self.state();
        match state.loaded.get_mut(model) {
            Some(runs) => {
                *runs += 1;
                true
            }
            None => false,
        }
    }

    fn record_headers(&self, headers: &HeaderMap) {
        let text = |value: &http::HeaderValue| String::from_utf8_lossy(value.as_bytes()).into();
        self.state().last_headers =
            headers.iter().map(|(name, value)| (name.to_string(), text(value))).collect();
    }
}

impl GeneratedText {
    fn usage(&self) -> Value {
        let completion = self.words.len() as u64;
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": completion,
            "total_tokens": self.prompt_tokens + completion,
        })
    }

    fn to_json(&self) -> Value {
        let text = self.words.concat();
        let (object, choice) = match self.chat {
            true => (
                "chat.completion",
                json!({"index": 0, "finish_reason": "length",
                       "message": {"role": "assistant", "content": text}}),
            ),
            false => {
                ("text_completion", json!({"index": 0, "finish_reason": "length", "text": text}))
            }
        };
        json!({"id": self.id, "object": object, "created": 0, "model": self.model,
               "choices": [choice], "usage": self.usage()})
    }

    fn event(&self, choices: Value, usage: Value) -> String {
        let object = if self.chat { "chat.completion.chunk" } else { "text_completion" };
        let chunk = json!({"id": self.id, "object": object, "created": 0, "model": self.model,
                           "choices": choices, "usage": usage});
        format!("data: {chunk}\n\n")
    }

    /// Returns the event of one word; only the last one carries a finish reason, which clients
    /// wait for.
    fn word_event(&self, index: usize, word: &str) -> String {
        let reason = (index + 1 == self.words.len()).then_some("length");
        let choice = match self.chat {
            true => json!({"index": 0, "delta": {"content": word}, "finish_reason": reason}),
            false => json!({"index": 0, "text": word, "finish_reason": reason}),
        };
        self.event(json!([choice]), Value::Null)
    }

    fn usage_event(&self) -> String {
        self.event(json!([]), self.usage())
    }
}

fn generate(body: &GenerationBody, headers: &HeaderMap, chat: bool) -> GeneratedText {
    let prompt = body.prompt_text();
    let count = body.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS);
    let id = headers.get(REQUEST_ID_HEADER).and_then(|id| id.to_str().ok()).unwrap_or("none");
    GeneratedText {
        id: format!("gen-{id}"),
        model: body.model.clone(),
        prompt_tokens: prompt.len() as u64 / 4 + 1,
        words: generated_words(&body.model, &prompt, count),
        chat,
    }
}

fn resume_offset(headers: &HeaderMap) -> usize {
    let text = headers.get(RESUME_HEADER).and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn embedding_response(body: &GenerationBody) -> Response<ResponseBody> {
    let prompt = body.prompt_text();
    let words = generated_words(&body.model, &prompt, EMBEDDING_SIZE as u64);
    let vector: Vec<f64> = words.iter().map(|word| word.len() as f64 / 8.0).collect();
    let tokens = prompt.len() as u64 / 4 + 1;
    let data = json!([{"object": "embedding", "index": 0, "embedding": vector}]);
    let usage = json!({"prompt_tokens": tokens, "total_tokens": tokens});
    let response = json!({"object": "list", "data": data, "model": body.model, "usage": usage});
    json_response(StatusCode::OK, &response)
}

fn not_loaded(model: &str) -> Response<ResponseBody> {
    let error = json!({"error": format!("{model} is not loaded")});
    let mut response = json_response(StatusCode::SERVICE_UNAVAILABLE, &error);
    response.headers_mut().insert(NOT_RUN_HEADER, http::HeaderValue::from_static("true"));
    response
}
