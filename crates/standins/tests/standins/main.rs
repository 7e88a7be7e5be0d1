//! Tests of the stand-ins, over HTTP on loopback.

mod client;
mod lagged;
mod list;
mod runner;
mod service;
mod slots;
mod table;
