//! Reports to operators how endpoints differ in speed.

use crate::event;
use crate::node::Node;
use crosslane_coordination::speed::Watch;
use crosslane_state::endpoint::Stage;
use log::info;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval of the reports.
const INTERVAL: Duration = Duration::from_secs(1);

/// Reports speeds until the process ends.
pub async fn report(node: Arc<Node>) {
    let mut watch = Watch::default();
    loop {
        sleep(INTERVAL).await;
        report_once(&node, &mut watch);
    }
}

fn report_once(node: &Node, watch: &mut Watch) {
    let mut pool = node.pool();
    let times = pool.relative_times(node.now());
    let mut extremes: HashMap<(&str, Stage), (f64, f64)> = HashMap::new();
    for (key, time) in &times {
        if let Some(endpoint) = pool.get(*key) {
            let group = (endpoint.service.as_str(), endpoint.stage);
            let (least, most) = extremes.entry(group).or_insert((1.0, 1.0));
            (*least, *most) = (least.min(time.to_median), most.max(time.to_median));
        }
    }
    node.metrics.set_relative_times(&extremes);
    for (key, change) in watch.update(&times, |key| pool.get(key).is_some()) {
        let time = times.iter().find(|(known, _)| *known == key);
        if let (Some(endpoint), Some((_, time))) = (pool.get(key), time) {
            let (to, service) = (endpoint.id.as_str(), endpoint.service.as_str());
            let stage = format!("{:?}", endpoint.stage);
            let percent = (time.to_median * 100.0) as u64;
            info!(to, service, stage, percent, outcome:% = change; "{}", event::SPEED);
        }
    }
    node.metrics.slow_endpoints.set(watch.count() as i64);
}
