/**
 * Test doubles shared by measurements and tests: a simulated fleet on a manual clock, raw HTTP
 * callers and targets on real sockets, and an entry instance's request path as a fixture.
 */
package org.waxwingbeam.tools.testing;
