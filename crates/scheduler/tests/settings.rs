//! Settings are checked without rejecting what rules clamp.

use cypresscleat_concurrency::{PoolConfig, PoolsConfig};
use cypresscleat_scheduler::*;

fn settings(classes: Vec<usize>) -> Settings {
    let pool = PoolConfig {
        name: "only".into(),
        classes,
        min_share: 0.5,
        max_share: 1.0,
        weight: 1.0,
        reserve: 0.0,
    };
    Settings {
        classes: vec![RequestClass::default(); 2],
        pools: PoolsConfig { pools: vec![pool], ..PoolsConfig::default() },
        ..Settings::default()
    }
}

#[test]
fn accepts_settings_without_pools_whatever_their_numbers() {
    assert_eq!(Settings::default().validate(), Ok(()));
    let odd = Settings { cores: -3.0, client_count: 0.0, overload_multiple: 0.1, ..Settings::default() };
    assert_eq!(odd.validate(), Ok(()));
}

#[test]
fn accepts_pools_of_known_classes() {
    assert_eq!(settings(vec![0, 1]).validate(), Ok(()));
}

#[test]
fn rejects_pool_that_names_an_unknown_class() {
    let fault = settings(vec![0, 2]).validate().expect_err("there are two classes");
    assert!(matches!(fault, SettingsError::Pool(_)));
    assert_eq!(fault.to_string(), "pools: pool 0: no operation 2");
}
