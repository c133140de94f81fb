//! A running demo and a client to call it with.

use bytes::Bytes;
use dotterellane::demo::{self, Demo};
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// A running demo.
pub struct TestEnvironment {
    pub demo: Demo,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A whole answer.
#[derive(Debug)]
pub struct TestAnswer {
    pub status: StatusCode,
    pub not_run: bool,
    pub text: String,
}

impl TestEnvironment {
    pub async fn start() -> Self {
        let demo = demo::start().await.expect("the demo starts");
        Self { demo, client: Client::builder(TokioExecutor::new()).build_http() }
    }

    /// Calls a daemon with the key of a team, and waits for the whole answer.
    pub async fn call(
        &self,
        daemon: usize,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> TestAnswer {
        let method = if body.is_empty() { "GET" } else { "POST" };
        let mut request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.demo.outline.entries[daemon]));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(Bytes::from(body.to_owned()))).unwrap();
        let answer = self.client.request(request).await.expect("the daemon answers");
        let status = answer.status();
        let not_run = answer.headers().contains_key("dotterellane-not-run");
        let body = answer.into_body().collect().await.expect("the answer is whole");
        let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
        TestAnswer { status, not_run, text }
    }

    /// Returns the authorization header of a team.
    pub fn key(&self, team: usize) -> String {
        format!("Bearer {}", self.demo.outline.teams[team].key)
    }
}
