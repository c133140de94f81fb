//! A running demo and a client for its daemons.

use bytes::Bytes;
use dotterellane::demo::{self, Demo};
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// A running demo and an HTTP client.
pub struct TestEnvironment {
    pub demo: Demo,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A response with its complete body.
#[derive(Debug)]
pub struct TestResponse {
    pub status: StatusCode,
    pub not_run: bool,
    pub text: String,
}

impl TestEnvironment {
    pub async fn start() -> Self {
        let demo = demo::start().await.expect("the demo should start");
        Self { demo, client: Client::builder(TokioExecutor::new()).build_http() }
    }

    /// Calls a daemon with the given headers and reads the complete response. An empty body makes
    /// it a GET request.
    pub async fn call(
        &self,
        daemon: usize,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> TestResponse {
        let method = if body.is_empty() { "GET" } else { "POST" };
        let mut request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.demo.access.entries[daemon]));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(Bytes::from(body.to_owned()))).unwrap();
        let response = self.client.request(request).await.expect("the daemon should respond");
        let status = response.status();
        let not_run = response.headers().contains_key("dotterellane-not-run");
        let body = response.into_body().collect().await.expect("the body should be complete");
        let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
        TestResponse { status, not_run, text }
    }

    /// Returns the value of a team's `Authorization` header.
    pub fn authorization(&self, team: usize) -> String {
        format!("Bearer {}", self.demo.access.teams[team].key)
    }
}
