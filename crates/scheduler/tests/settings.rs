//! Tests that validation accepts numbers that the rules clamp and rejects pools with unknown request classes.

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
fn accepts_settings_without_pools_with_any_numbers() {
    assert_eq!(Settings::default().validate(), Ok(()));
    let out_of_range =
        Settings { cores: -3.0, client_count: 0.0, overload_multiple: 0.1, ..Settings::default() };
    assert_eq!(out_of_range.validate(), Ok(()));
}

#[test]
fn accepts_pools_of_known_classes() {
    assert_eq!(settings(vec![0, 1]).validate(), Ok(()));
}

#[test]
fn rejects_pool_that_names_an_unknown_class() {
    let error = settings(vec![0, 2]).validate().expect_err("there are two classes");
    assert!(matches!(error, SettingsError::Pool(_)));
    assert_eq!(error.to_string(), "pools: pool 0: unknown operation 2");
}
