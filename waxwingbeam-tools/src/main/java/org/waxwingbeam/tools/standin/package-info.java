/** Stand-in targets: HTTP servers with slots, a queue and faults that can be switched on. */
package org.waxwingbeam.tools.standin;
