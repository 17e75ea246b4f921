/** The load generator: sends requests at a set rate, validates responses and reports latencies. */
package org.waxwingbeam.tools.load;
