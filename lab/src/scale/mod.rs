//! What each role costs at which size, and whether the size to design for fits its budgets.

pub mod hollow;
pub mod row;
