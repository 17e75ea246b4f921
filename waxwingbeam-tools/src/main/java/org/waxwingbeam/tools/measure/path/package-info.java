/** Measures the latency and processor time that an entry instance adds to a request. */
package org.waxwingbeam.tools.measure.path;
