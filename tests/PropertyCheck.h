#pragma once

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

// Checks a RapidCheck property and reports the result to CppUTest.
#define CHECK_PROPERTY(description, ...) CHECK_TRUE(rc::check(description, __VA_ARGS__))
