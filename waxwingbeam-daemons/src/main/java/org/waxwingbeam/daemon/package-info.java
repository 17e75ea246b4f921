/** Command-line framework: command dispatch, daemon life cycle, help texts, stop signals. */
package org.waxwingbeam.daemon;
