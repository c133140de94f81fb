//! A stand-in for the platform's services over HTTP.
//!
//! The wire format is that of [`dotterellane_platform::http`]: JSON requests and JSON responses.

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

use crate::http_server::{self, ResponseBody, StandinServer, full_response, json_response};

/// Serves the table, the object store and the host list of `platform` on one loopback port.
///
/// # Errors
/// Fails if no port can be bound.
pub async fn start(platform: MemoryPlatform) -> std::io::Result<StandinServer> {
    http_server::start(move |request| handle(platform.clone(), request)).await
}

async fn handle(platform: MemoryPlatform, request: Request<Incoming>) -> Response<ResponseBody> {
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    let Ok(body) = request.into_body().collect().await else {
        return json_response(
            StatusCode::BAD_REQUEST,
            &json!({"error": "request body was cut off"}),
        );
    };
    let body = body.to_bytes();
    match (method, path.as_str()) {
        (Method::POST, "/table/read") => {
            let table = platform.table();
            run_call(&body, |read: ReadRequest| async move { table.read(read.keys).await }).await
        }
        (Method::POST, "/table/scan") => {
            let table = platform.table();
            run_call(&body, |scan: ScanRequest| async move { table.scan(scan.prefix).await }).await
        }
        (Method::POST, "/table/commit") => {
            let table = platform.table();
            run_call(&body, |change: TableTransaction| async move { table.commit(change).await })
                .await
        }
        (Method::GET, "/hosts") => table_response(platform.host_list().list().await),
        (method, path) => match path.strip_prefix("/objects/") {
            Some(key) => handle_object(&platform, &method, key, body).await,
            None => json_response(StatusCode::NOT_FOUND, &json!({"error": "no such path"})),
        },
    }
}

async fn run_call<Q, A, C, CF>(body: &Bytes, operation: C) -> Response<ResponseBody>
where
    Q: DeserializeOwned,
    A: Serialize,
    C: FnOnce(Q) -> CF,
    CF: Future<Output = Result<A, TableError>>,
{
    match serde_json::from_slice(body) {
        Ok(request) => table_response(operation(request).await),
        Err(error) => json_response(StatusCode::BAD_REQUEST, &json!({"error": error.to_string()})),
    }
}

fn table_response<A>(outcome: Result<A, TableError>) -> Response<ResponseBody>
where
    A: Serialize,
{
    match outcome {
        Ok(response) => json_response(StatusCode::OK, &json!(response)),
        Err(error @ TableError::Unavailable { .. }) => {
            json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({"error": error.to_string()}))
        }
        // The client gets the status that a proxy returns if the table's answer does not arrive.
        Err(error @ TableError::AnswerLost { .. }) => {
            json_response(StatusCode::GATEWAY_TIMEOUT, &json!({"error": error.to_string()}))
        }
    }
}

async fn handle_object(
    platform: &MemoryPlatform,
    method: &Method,
    key: &str,
    body: Bytes,
) -> Response<ResponseBody> {
    let objects = platform.objects();
    let outcome = match *method {
        Method::GET => objects.get(key).await,
        Method::PUT => objects.put(key, body).await.map(|()| Some(Bytes::new())),
        _ => return json_response(StatusCode::METHOD_NOT_ALLOWED, &json!({"error": "GET or PUT"})),
    };
    match outcome {
        Ok(Some(content)) => full_response(StatusCode::OK, "application/octet-stream", content),
        Ok(None) => json_response(StatusCode::NOT_FOUND, &json!({"error": "no such object"})),
        Err(error) => {
            json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({"error": error.to_string()}))
        }
    }
}
