"""Tests of orders to engines and of their division."""
