//! HTTP clients of the platform's services; the only module of this crate that knows their wire
//! format.
//!
//! `POST /table/read`, `/table/scan` and `/table/commit` have JSON bodies in both directions,
//! `GET /hosts` returns JSON, `GET` and `PUT /objects/{key}` transfer raw bytes. Status 503 means
//! that the request had no effect; after any other failure of a request that was sent, it may have
//! taken effect.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::{
    CallFailure, HostList, ObjectError, ObjectStore, PlatformTable, TableError, call_service,
};

/// Time limit of one call to the platform, including the response body.
pub const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Body of `POST /table/read`.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct ReadRequest {
    /// Keys of the rows to read.
    pub keys: Vec<String>,
}

/// Body of `POST /table/scan`.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct ScanRequest {
    /// Prefix that the keys of the returned rows start with.
    pub prefix: String,
}

#[derive(Clone, Debug)]
struct PlatformClient {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl PlatformClient {
    fn new(address: SocketAddr) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_secs(5))
            .retry_canceled_requests(false)
            .build_http();
        Self { address, client }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), CallFailure> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .body(Full::new(body))
            .map_err(|error| CallFailure::NotApplied(error.to_string()))?;
        let response =
            call_service(&self.client, request, PLATFORM_TIMEOUT, MAX_RESPONSE_BYTES).await?;
        Ok((response.status(), response.into_body()))
    }

    async fn call_table<Q, A>(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        request: Option<&Q>,
    ) -> Result<A, TableError>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let body = request.map(serde_json::to_vec).transpose();
        let error = |failure: CallFailure| failure.into_error(step, self.address);
        let body = body.map_err(|cause| error(CallFailure::NotApplied(cause.to_string())))?;
        let response = self.call(method, path, body.unwrap_or_default().into()).await;
        let (status, body) = response.map_err(error)?;
        if status != StatusCode::OK {
            return Err(error(CallFailure::NotApplied(status.to_string())));
        }
        serde_json::from_slice(&body)
            .map_err(|cause| error(CallFailure::Unknown(cause.to_string())))
    }

    async fn call_objects(
        &self,
        step: &'static str,
        method: Method,
        key: String,
        content: Bytes,
    ) -> Result<Option<Bytes>, ObjectError> {
        let response = self.call(method, &format!("/objects/{key}"), content).await;
        let cause = match response {
            Ok((StatusCode::OK, body)) => return Ok(Some(body)),
            Ok((StatusCode::NOT_FOUND, _)) => return Ok(None),
            Ok((status, _)) => status.to_string(),
            Err(CallFailure::NotApplied(cause) | CallFailure::Unknown(cause)) => cause,
            Err(CallFailure::TooLong(max_bytes)) => format!("longer than {max_bytes} bytes"),
        };
        Err(ObjectError { step, key, peer: self.address.to_string(), cause })
    }
}

/// Returns a client of the table service at `address`.
pub fn table(address: SocketAddr) -> PlatformTable {
    let reader = PlatformClient::new(address);
    let (scanner, committer) = (reader.clone(), reader.clone());
    PlatformTable::new(
        move |keys| {
            let client = reader.clone();
            async move {
                let request = ReadRequest { keys };
                client.call_table("read rows", Method::POST, "/table/read", Some(&request)).await
            }
        },
        move |prefix| {
            let client = scanner.clone();
            async move {
                let request = ScanRequest { prefix };
                client.call_table("scan rows", Method::POST, "/table/scan", Some(&request)).await
            }
        },
        move |transaction| {
            let client = committer.clone();
            async move {
                client.call_table("commit", Method::POST, "/table/commit", Some(&transaction)).await
            }
        },
    )
}

/// Returns a client of the object store at `address`.
pub fn objects(address: SocketAddr) -> ObjectStore {
    let getter = PlatformClient::new(address);
    let putter = getter.clone();
    ObjectStore::new(
        move |key| {
            let client = getter.clone();
            async move { client.call_objects("get", Method::GET, key, Bytes::new()).await }
        },
        move |key, content| {
            let client = putter.clone();
            async move { client.call_objects("put", Method::PUT, key, content).await.map(drop) }
        },
    )
}

/// Returns a client of the host list at `address`.
pub fn host_list(address: SocketAddr) -> HostList {
    let lister = PlatformClient::new(address);
    HostList::new(move || {
        let client = lister.clone();
        async move { client.call_table("list hosts", Method::GET, "/hosts", None::<&()>).await }
    })
}
