//! CPU time per relayed chunk and per buffered response, compared with direct calls of a runner.

#[path = "../tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use dotterellane_entry::EntryLimits;
use dotterellane_entry::events::EventSplitter;
use dotterellane_standins::FaultyRunner;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use rustix::time::{ClockId, clock_gettime};
use support::{EntryEnvironment, chat_request, model_entry, test_document};
use tokio::net::TcpStream;
use tokio::runtime::Runtime;

/// Number of chunks per stream.
const CHUNKS: u64 = 400;

/// Time between two chunks, long enough that each is relayed separately.
const CHUNK_PAUSE: Duration = Duration::from_millis(1);

/// Number of concurrent streams.
const STREAMS: usize = 32;

fn processor_time() -> Duration {
    let reading = clock_gettime(ClockId::ProcessCPUTime);
    let seconds = u64::try_from(reading.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(reading.tv_nsec).unwrap_or(0))
}

struct BenchTarget {
    direct: SocketAddr,
    entry: EntryEnvironment,
    runner: FaultyRunner,
}

async fn start_target() -> BenchTarget {
    let runner = FaultyRunner::start().await.expect("a runner");
    let mut document = test_document();
    let model = model_entry(Duration::from_secs(600));
    document.models.insert("planner".parse().expect("an id"), model);
    let limits = EntryLimits::default();
    let entry = EntryEnvironment::start_with(&[runner.address()], document, limits).await;
    BenchTarget { direct: runner.address(), entry, runner }
}

async fn connect(address: SocketAddr) -> SendRequest<Full<Bytes>> {
    let stream = TcpStream::connect(address).await.expect("a connection");
    stream.set_nodelay(true).expect("an option");
    let (sender, driver) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.expect("a handshake");
    tokio::spawn(driver);
    sender
}

fn request(streamed: bool, tokens: u64) -> Request<Full<Bytes>> {
    let mut request = chat_request(streamed, tokens, "hello");
    let id = "0123456789abcdef0123456789abcdef".parse().expect("a value");
    request.headers_mut().insert("x-request-id", id);
    request
}

async fn read_all(sender: &mut SendRequest<Full<Bytes>>, request: Request<Full<Bytes>>) {
    sender.ready().await.expect("an open connection");
    let response = sender.send_request(request).await.expect("a response");
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        frame.expect("a complete response");
    }
}

async fn run_streams(address: SocketAddr) {
    let streams = (0..STREAMS).map(|_| async move {
        let mut sender = connect(address).await;
        read_all(&mut sender, request(true, CHUNKS)).await;
    });
    futures::future::join_all(streams).await;
}

fn measure_streams(criterion: &mut Criterion) {
    let runtime = Runtime::new().expect("a runtime");
    let target = runtime.block_on(start_target());
    target.runner.set_chunk_pause(CHUNK_PAUSE);
    let mut group = criterion.benchmark_group("processor time of streams");
    group.sample_size(10);
    group.throughput(Throughput::Elements(CHUNKS * STREAMS as u64));
    for (name, address) in [("direct", target.direct), ("through the entry", target.entry.address)]
    {
        group.bench_function(name, |bencher| {
            bencher.iter_custom(|times| {
                let before = processor_time();
                (0..times).for_each(|_| runtime.block_on(run_streams(address)));
                processor_time() - before
            });
        });
    }
    group.finish();
}

fn measure_answers(criterion: &mut Criterion) {
    let runtime = Runtime::new().expect("a runtime");
    let target = runtime.block_on(start_target());
    let mut group = criterion.benchmark_group("processor time of whole answers");
    group.sample_size(20);
    group.throughput(Throughput::Elements(1));
    for (name, address) in [("direct", target.direct), ("through the entry", target.entry.address)]
    {
        let mut sender = runtime.block_on(connect(address));
        group.bench_function(name, |bencher| {
            bencher.iter_custom(|times| {
                let before = processor_time();
                for _ in 0..times {
                    runtime.block_on(read_all(&mut sender, request(false, 8)));
                }
                processor_time() - before
            });
        });
    }
    group.finish();
}

fn measure_splitter(criterion: &mut Criterion) {
    let event = Bytes::from_static(
        b"data: {\"id\":\"answer\",\"object\":\"chat.completion.chunk\",\"model\":\"planner\",\
          \"choices\":[{\"index\":0,\"delta\":{\"content\":\"t17 \"},\"finish_reason\":null}]}\n\n",
    );
    let mut splitter = EventSplitter::default();
    criterion.bench_function("split one event", |bencher| {
        bencher.iter(|| splitter.push(event.clone()));
    });
}

criterion_group!(benches, measure_splitter, measure_answers, measure_streams);
criterion_main!(benches);
