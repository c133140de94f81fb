//! Dispatchers and keepers of several daemons load, evict and take over models on stand-in runners.

mod placement_fleet;

use std::time::Duration;

use dotterellane_fleet::PermitRefusal;
use dotterellane_platform::memory::PlatformFault;
use dotterellane_units::ByteSize;
use googletest::prelude::*;
use placement_fleet::{FleetShape, TestFleet, acquire_permit, release_answered};

const DEADLINE: Duration = Duration::from_secs(20);

fn small_shape(hosts: usize) -> FleetShape {
    FleetShape {
        hosts,
        runners: 2,
        fencing: true,
        capacity: ByteSize::mebibytes(100),
        models: vec![
            ("draft", ByteSize::mebibytes(60)),
            ("roster", ByteSize::mebibytes(60)),
            ("notice", ByteSize::mebibytes(60)),
        ],
    }
}

#[gtest]
#[tokio::test]
async fn permit_idle_model_wakes() -> googletest::Result<()> {
    let fleet = TestFleet::start(small_shape(1)).await;
    let ports = fleet.ports(0);
    let permit = acquire_permit(&ports, "draft", 1, DEADLINE).await.or_fail()?;
    expect_that!(fleet.loaded("draft"), eq(1));
    release_answered(&ports, permit);
    Ok(())
}

#[gtest]
#[tokio::test]
async fn permit_unknown_model() {
    let fleet = TestFleet::start(small_shape(1)).await;
    let refused = acquire_permit(&fleet.ports(0), "nothing", 1, DEADLINE).await;
    expect_that!(refused, err(matches_pattern!(PermitRefusal::NoRunner { .. })));
}

#[gtest]
#[tokio::test]
async fn permit_burst_coalesced() -> googletest::Result<()> {
    let fleet = TestFleet::start(small_shape(3)).await;
    let asks = (0..6).map(|index| {
        let ports = fleet.ports(index % 3);
        async move {
            let permit = acquire_permit(&ports, "draft", 10 + index as u128, DEADLINE).await?;
            release_answered(&ports, permit);
            Ok::<(), PermitRefusal>(())
        }
    });
    futures::future::try_join_all(asks).await.or_fail()?;
    // Six concurrent requests at three hosts caused one load.
    expect_that!(fleet.loaded("draft"), eq(1));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn permit_full_runners_evict() -> googletest::Result<()> {
    let fleet = TestFleet::start(small_shape(2)).await;
    for (index, model) in ["draft", "roster", "notice"].into_iter().enumerate() {
        let ports = fleet.ports(index % 2);
        // Shorter than an idle replica stays loaded, so room has to come from an eviction.
        let deadline = Duration::from_secs(4);
        let permit = acquire_permit(&ports, model, 20 + index as u128, deadline).await.or_fail()?;
        expect_that!(fleet.loaded(model), eq(1));
        release_answered(&ports, permit);
    }
    for runner in &fleet.runners {
        expect_that!(runner.control.engine().peak(), le(ByteSize::mebibytes(100)));
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn permit_keeper_lost_table_down() -> googletest::Result<()> {
    let mut fleet = TestFleet::start(small_shape(3)).await;
    let permit = acquire_permit(&fleet.ports(0), "draft", 30, DEADLINE).await.or_fail()?;
    release_answered(&fleet.ports(0), permit);
    // Time for every keeper candidate to read the leases.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    fleet.platform.set_fault(PlatformFault::Down);
    let gone: Vec<_> = fleet.daemons.keys().skip(1).cloned().collect();
    gone.iter().for_each(|host| fleet.kill(host));
    for (index, model) in ["draft", "roster", "notice"].into_iter().enumerate() {
        let ports = fleet.ports(0);
        let permit = acquire_permit(&ports, model, 40 + index as u128, DEADLINE).await.or_fail()?;
        release_answered(&ports, permit);
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn permit_deadline_too_short() {
    let fleet = TestFleet::start(small_shape(1)).await;
    // Ensures that the slots are decided and reported.
    let permit = acquire_permit(&fleet.ports(0), "draft", 50, DEADLINE).await;
    expect_that!(permit, ok(anything()));
    let refused = acquire_permit(&fleet.ports(0), "draft", 51, Duration::from_millis(1)).await;
    expect_that!(refused, err(matches_pattern!(PermitRefusal::TooLate { .. })));
}

#[gtest]
#[tokio::test]
async fn permit_runner_leaving_table_down() -> googletest::Result<()> {
    let fleet = TestFleet::start(small_shape(1)).await;
    let ports = fleet.ports(0);
    let permit = acquire_permit(&ports, "draft", 1, DEADLINE).await.or_fail()?;
    let leaving = permit.runner.clone();
    release_answered(&ports, permit);
    fleet.platform.set_fault(PlatformFault::Down);
    let mut snapshot = (*ports.configuration.current()).clone();
    snapshot.version = snapshot.version.next();
    snapshot.document.upstreams.get_mut(&leaving).unwrap().leaving = true;
    ports.configuration.publish_if_newer(snapshot);
    // A runner marked as leaving may get requests for a few more seconds.
    tokio::time::sleep(Duration::from_secs(3)).await;
    for request in 2..5 {
        let permit = acquire_permit(&ports, "draft", request, DEADLINE).await.or_fail()?;
        expect_that!(permit.runner, not(eq(&leaving)));
        release_answered(&ports, permit);
    }
    Ok(())
}
