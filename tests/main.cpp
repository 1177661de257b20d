/** @file main.cpp Test runner; the property tests take fixed parameters unless RC_PARAMS is set. */

#define DOCTEST_CONFIG_IMPLEMENT
#include <cstdlib>
#include <doctest/doctest.h>

int main(int argc, char **argv)
{
    setenv("RC_PARAMS", "seed=20261204 max_success=300 max_size=120", 0);
    return doctest::Context(argc, argv).run();
}
