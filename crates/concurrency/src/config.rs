//! Configuration of the pools and its validation.

use crate::limit::Limiter;
use crate::Time;
use thiserror::Error;

/// Tolerated rounding error of a sum of shares.
const SHARE_SUM_TOLERANCE: f64 = 1e-9;
/// Derived pools: fraction of all slots that is divided evenly as the slots that the pools own.
const DERIVED_OWNED_SHARE: f64 = 0.5;
/// Derived pools: fraction of all slots that the class with the shortest latency objective owns and reserves in addition.
const DERIVED_RESERVE: f64 = 0.125;
/// Derived pools: lower bound of a pool's weight.
const DERIVED_MIN_WEIGHT: f64 = 0.1;
/// Derived pools: tolerance of the gradient limiter.
const DERIVED_GRADIENT_TOLERANCE: f64 = 1.5;

/// The configuration of one pool. Shares are fractions of all slots, from 0 to 1.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolConfig {
    /// Unique name; identifies the pool across configuration changes.
    pub name: String,
    /// Request classes by their index in the settings.
    pub classes: Vec<usize>,
    /// Share that the pool owns; unused slots are lent to other pools.
    pub min_share: f64,
    /// Share that the pool never exceeds.
    pub max_share: f64,
    /// Claim on slots that no pool owns, relative to the other pools.
    pub weight: f64,
    /// Fraction of all slots and of the memory that stays reserved for the pool; at most `min_share`. Never lent.
    pub reserve: f64,
}

/// The configuration of all pools and of the algorithm of their limits. Without pools every request may start and nothing is
/// reserved.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolsConfig {
    /// The configured pools. Classes in none of them share a default pool that owns no slots.
    pub pools: Vec<PoolConfig>,
    /// How the concurrency limit of each pool adapts.
    pub limiter: Limiter,
}

/// Why a [`PoolsConfig`] is invalid.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ConfigError {
    /// The shares of all pools together exceed the whole.
    #[error("the parts called {key} sum to {sum:.2}, past 1")]
    SharesExceedWhole {
        /// The key in the operator's file.
        key: &'static str,
        /// Sum of the pools' values.
        sum: f64,
    },
    /// One pool is invalid.
    #[error("pool {pool}: {error}")]
    Pool {
        /// Index of the pool in [`PoolsConfig::pools`].
        pool: usize,
        /// Why the pool is invalid.
        error: PoolError,
    },
}

/// Why a [`PoolConfig`] is invalid. The messages use the keys of the operator's file.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum PoolError {
    /// A share is not between 0 and 1.
    #[error("least, most and reserve must be between 0 and 1")]
    ShareOutOfRange,
    /// The maximum is 0 or below the minimum.
    #[error("most {max_share} is 0 or below least {min_share}")]
    MaxBelowMin {
        /// Configured maximum.
        max_share: f64,
        /// Configured minimum.
        min_share: f64,
    },
    /// More is reserved than the pool owns.
    #[error("reserve {reserve} exceeds least {min_share}")]
    ReserveExceedsMin {
        /// Configured reserve.
        reserve: f64,
        /// Configured minimum.
        min_share: f64,
    },
    /// The weight is not a positive finite number.
    #[error("weight {0} is not a positive finite number")]
    InvalidWeight(f64),
    /// The pool has no request class.
    #[error("has no operations")]
    NoClass,
    /// The settings have no request class with this index.
    #[error("unknown operation {0}")]
    UnknownClass(usize),
    /// The request class is already in this or an earlier pool.
    #[error("operation {0} is already in a pool")]
    DuplicateClass(usize),
    /// An earlier pool has the same name.
    #[error("the name {0:?} is taken")]
    DuplicateName(String),
}

impl PoolsConfig {
    /// Derives pools from the latency objective and the priority weight of each request class. Each class gets its own pool. The
    /// pools own half of all slots in equal shares and compete for the rest by weight. The class with the shortest latency
    /// objective owns and reserves an additional eighth.
    pub fn derive(objectives: &[Time], weights: &[f64]) -> PoolsConfig {
        let count = objectives.len().max(1) as f64;
        let shortest =
            objectives.iter().enumerate().min_by_key(|(_, objective)| **objective).map(|(class, _)| class);
        let pool = |(class, weight): (usize, &f64)| {
            let reserve = if shortest == Some(class) { DERIVED_RESERVE } else { 0.0 };
            PoolConfig {
                name: class.to_string(),
                classes: vec![class],
                min_share: DERIVED_OWNED_SHARE / count + reserve,
                max_share: 1.0,
                weight: weight.max(DERIVED_MIN_WEIGHT),
                reserve,
            }
        };
        PoolsConfig {
            pools: weights.iter().enumerate().map(pool).collect(),
            limiter: Limiter::Gradient { tolerance: DERIVED_GRADIENT_TOLERANCE },
        }
    }

    /// Validates the configuration against settings with `class_count` request classes.
    ///
    /// # Errors
    ///
    /// Returns all errors: first those that concern all pools together, then the errors of each pool.
    pub fn validate(&self, class_count: usize) -> Result<(), Vec<ConfigError>> {
        let mut errors = self.sum_errors();
        for pool in 0..self.pools.len() {
            let pool_errors = self.pool_errors(pool, class_count);
            errors.extend(pool_errors.into_iter().map(|error| ConfigError::Pool { pool, error }));
        }
        if errors.is_empty() {
            Ok(())
        } else {
            Err(errors)
        }
    }

    fn sum_errors(&self) -> Vec<ConfigError> {
        let sum = |share: fn(&PoolConfig) -> f64| self.pools.iter().map(share).sum::<f64>();
        let sums = [("least", sum(|pool| pool.min_share)), ("reserve", sum(|pool| pool.reserve))];
        let exceeding = sums.into_iter().filter(|(_, sum)| *sum > 1.0 + SHARE_SUM_TOLERANCE);
        exceeding.map(|(key, sum)| ConfigError::SharesExceedWhole { key, sum }).collect()
    }

    fn pool_errors(&self, index: usize, class_count: usize) -> Vec<PoolError> {
        let pool = &self.pools[index];
        let mut errors = pool.share_errors();
        if pool.classes.is_empty() {
            errors.push(PoolError::NoClass);
        }
        for class in &pool.classes {
            if *class >= class_count {
                errors.push(PoolError::UnknownClass(*class));
            }
            let classes_so_far = self.pools[..=index].iter().flat_map(|pool| &pool.classes);
            if classes_so_far.filter(|known| *known == class).count() > 1 {
                errors.push(PoolError::DuplicateClass(*class));
            }
        }
        if self.pools[..index].iter().any(|known| known.name == pool.name) {
            errors.push(PoolError::DuplicateName(pool.name.clone()));
        }
        errors
    }
}

impl PoolConfig {
    fn share_errors(&self) -> Vec<PoolError> {
        let PoolConfig { min_share, max_share, weight, reserve, .. } = *self;
        let is_share = |value: f64| (0.0..=1.0).contains(&value);
        let mut errors = Vec::new();
        if !is_share(min_share) || !is_share(max_share) || !is_share(reserve) {
            errors.push(PoolError::ShareOutOfRange);
        }
        if max_share <= 0.0 || max_share < min_share {
            errors.push(PoolError::MaxBelowMin { max_share, min_share });
        }
        if reserve > min_share {
            errors.push(PoolError::ReserveExceedsMin { reserve, min_share });
        }
        if !(weight > 0.0 && weight.is_finite()) {
            errors.push(PoolError::InvalidWeight(weight));
        }
        errors
    }
}
