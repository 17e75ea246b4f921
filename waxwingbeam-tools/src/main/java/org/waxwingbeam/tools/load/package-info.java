/** Sends requests at a steady rate, checks the answers and reports latencies. */
package org.waxwingbeam.tools.load;
