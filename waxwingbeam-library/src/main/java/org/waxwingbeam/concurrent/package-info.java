/** Tasks that run again and again. */
package org.waxwingbeam.concurrent;
