#pragma once

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

// RapidCheck's result as a CppUTest check.
#define CHECK_PROPERTY(description, ...) CHECK_TRUE(rc::check(description, __VA_ARGS__))
