//! A stand-in of the platform's services over HTTP.
//!
//! The wire format is that of [`dotterellane_platform::http`]: JSON requests, JSON answers.

use bytes::Bytes;
use dotterellane_platform::http::{ReadRequest, ScanRequest};
use dotterellane_platform::memory::MemoryPlatform;
use dotterellane_platform::{TableError, TableTransaction};
use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;

use crate::http_server::{self, AnswerBody, StandinServer, json_answer, whole_answer};

/// Starts table, object store and host list of `platform` on one port.
///
/// # Errors
/// Fails if no port can be had.
pub async fn start(platform: MemoryPlatform) -> std::io::Result<StandinServer> {
    http_server::start(move |request| answer(platform.clone(), request)).await
}

async fn answer(platform: MemoryPlatform, request: Request<Incoming>) -> Response<AnswerBody> {
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    let Ok(body) = request.into_body().collect().await else {
        return json_answer(StatusCode::BAD_REQUEST, &json!({"error": "body broke off"}));
    };
    let body = body.to_bytes();
    match (method, path.as_str()) {
        (Method::POST, "/table/read") => {
            let table = platform.table();
            call(&body, |read: ReadRequest| async move { table.read(read.keys).await }).await
        }
        (Method::POST, "/table/scan") => {
            let table = platform.table();
            call(&body, |scan: ScanRequest| async move { table.scan(scan.prefix).await }).await
        }
        (Method::POST, "/table/commit") => {
            let table = platform.table();
            call(&body, |change: TableTransaction| async move { table.commit(change).await }).await
        }
        (Method::GET, "/hosts") => table_answer(platform.host_list().list().await),
        (method, path) => match path.strip_prefix("/objects/") {
            Some(key) => answer_object(&platform, &method, key, body).await,
            None => json_answer(StatusCode::NOT_FOUND, &json!({"error": "no such path"})),
        },
    }
}

async fn call<Q, A, C, CF>(body: &Bytes, act: C) -> Response<AnswerBody>
where
    Q: DeserializeOwned,
    A: Serialize,
    C: FnOnce(Q) -> CF,
    CF: Future<Output = Result<A, TableError>>,
{
    match serde_json::from_slice(body) {
        Ok(request) => table_answer(act(request).await),
        Err(error) => json_answer(StatusCode::BAD_REQUEST, &json!({"error": error.to_string()})),
    }
}

fn table_answer<A>(outcome: Result<A, TableError>) -> Response<AnswerBody>
where
    A: Serialize,
{
    match outcome {
        Ok(answer) => json_answer(StatusCode::OK, &json!(answer)),
        Err(error @ TableError::Unavailable { .. }) => {
            json_answer(StatusCode::SERVICE_UNAVAILABLE, &json!({"error": error.to_string()}))
        }
        // A lost answer is shown as an answer of a gateway that gave up waiting.
        Err(error @ TableError::AnswerLost { .. }) => {
            json_answer(StatusCode::GATEWAY_TIMEOUT, &json!({"error": error.to_string()}))
        }
    }
}

async fn answer_object(
    platform: &MemoryPlatform,
    method: &Method,
    key: &str,
    body: Bytes,
) -> Response<AnswerBody> {
    let objects = platform.objects();
    let outcome = match *method {
        Method::GET => objects.get(key).await,
        Method::PUT => objects.put(key, body).await.map(|()| Some(Bytes::new())),
        _ => return json_answer(StatusCode::METHOD_NOT_ALLOWED, &json!({"error": "GET or PUT"})),
    };
    match outcome {
        Ok(Some(content)) => whole_answer(StatusCode::OK, "application/octet-stream", content),
        Ok(None) => json_answer(StatusCode::NOT_FOUND, &json!({"error": "no such object"})),
        Err(error) => {
            json_answer(StatusCode::SERVICE_UNAVAILABLE, &json!({"error": error.to_string()}))
        }
    }
}
